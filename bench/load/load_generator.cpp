#include <algorithm>
#include <condition_variable>
#include <cstdlib>
#include <functional>
#include <mutex>
#include <optional>
#include <utility>

#include <nlohmann/json.hpp>

#include "basilstream/transport/http_client/http_client.hpp"
#include "basilstream/transport/reactor/reactor.hpp"
#include "bench/load/internal/endpoints.hpp"
#include "bench/load/internal/latency.hpp"
#include "bench/load/load.hpp"
#include "testing/answer_check/answer_check.hpp"

namespace basilstream::bench {
namespace {

using internal::latency_histogram;
using nlohmann::json;
using testing::answer_check;
using testing::answer_format;

constexpr auto ring_capacity = std::size_t{65536};
constexpr auto spare_calls = std::size_t{16};
constexpr auto endpoint_timeout = milliseconds{2000};
constexpr auto connect_timeout = milliseconds{500};
constexpr auto retry_pause = milliseconds{200};
constexpr auto longest_pause = milliseconds{5000};
// An answer that takes longer than this times its deadline is broken off.
constexpr auto patience = 3;

// One arrival, through all its attempts.
struct job {
    std::uint64_t number_ = 0;
    const load_target* target_ = nullptr;
    const std::string* prompt_ = nullptr;
    time_point arrived_ = {};
    unsigned attempts_ = 0;
    std::string address_ = {};
};

// What one attempt came to. `retry_after_` is set when another may be made.
struct attempt_end {
    std::string verdict_;
    std::uint64_t tokens_ = 0;
    std::optional<milliseconds> retry_after_ = {};
    bool address_failed_ = false;
    bool refused_ = false;
};

// Receives one answer on the client's thread.
class answer_sink final : public transport::http_sink {
public:
    answer_sink(answer_check check, time_point arrived, const clock& time,
                latency_histogram& first, latency_histogram& between,
                std::function<void(attempt_end)> done)
        : check_{std::move(check)}, arrived_{arrived}, clock_{time},
          first_{first}, between_{between}, done_{std::move(done)} {}

    auto on_response(int status,
                     const std::map<std::string, std::string>& headers)
        -> void override {
        status_ = status;
        const auto found = headers.find("retry-after");
        if (found != headers.end()) {
            retry_after_ = seconds{std::atoi(found->second.c_str())};
        }
    }

    auto on_data(std::string_view data) -> bool override {
        if (status_ != 200) {
            body_.append(data);
            return true;
        }
        const auto tokens = check_.take(data);
        if (tokens > 0) {
            const auto now = clock_.now();
            if (last_) {
                between_.record(now - *last_);
            } else {
                first_.record(now - arrived_);
            }
            last_ = now;
        }
        return true;
    }

    auto on_end(const transport::call_end& end) -> void override {
        done_(judge(end));
    }

private:
    auto judge(const transport::call_end& end) const -> attempt_end {
        if (status_ == 0) {
            return {.verdict_ = "no_connection",
                    .retry_after_ = retry_pause,
                    .address_failed_ = true};
        }
        if (status_ != 200) {
            return {.verdict_ = error_code(),
                    .retry_after_ = retry_after_,
                    .refused_ = true};
        }
        auto ended = attempt_end{.verdict_ = check_.verdict(),
                                 .tokens_ = check_.tokens()};
        // A connection that broke is no silent truncation: the caller knows.
        if (ended.verdict_ == "short_answer" && end.error_) {
            ended.verdict_ = "broken_answer";
            ended.retry_after_ = retry_pause;
            ended.address_failed_ = true;
        }
        return ended;
    }

    auto error_code() const -> std::string {
        const auto body = json::parse(body_, nullptr, false);
        if (!body.is_object() || !body.contains("error")) {
            return "status_" + std::to_string(status_);
        }
        const auto& error = body["error"];
        return error.is_string() ? error.get<std::string>()
                                 : error.value("code", "unnamed_error");
    }

    answer_check check_;
    time_point arrived_;
    const clock& clock_;
    latency_histogram& first_;
    latency_histogram& between_;
    std::function<void(attempt_end)> done_;
    int status_ = 0;
    std::optional<milliseconds> retry_after_;
    std::optional<time_point> last_;
    std::string body_;
};

} // namespace

class load_generator::implementation {
public:
    implementation(load_options options, std::vector<std::string> prompts,
                   const clock& time, random_source& random)
        : options_{std::move(options)}, prompts_{std::move(prompts)},
          clock_{time}, random_{random}, run_id_{make_id(random)},
          endpoints_{options_.addresses_}, thread_{"arrivals", ring_capacity},
          client_{"load", options_.max_open_ + spare_calls} {}

    auto run() -> load_report {
        const auto loads_before = loads();
        arrivals_ =
            draw_arrivals(options_.pattern_, options_.rate_, options_.length_,
                          options_.max_requests_, random_);
        begun_ = clock_.now();
        thread_.every(milliseconds{1}, [this] { tick(); });
        thread_.start();
        {
            auto lock = std::unique_lock{mutex_};
            ended_.wait(lock, [this] { return done_; });
        }
        thread_.stop();
        const auto elapsed = clock_.now() - begun_;
        report_.elapsed_seconds_ =
            std::chrono::duration<double>(elapsed).count();
        report_.accelerators_ = options_.accelerators_;
        report_.first_token_ = first_token_.summary();
        report_.between_tokens_ = between_tokens_.summary();
        report_.moves_ = loads() - loads_before;
        return report_;
    }

private:
    auto tick() -> void {
        refresh_endpoints();
        const auto now = clock_.now();
        while (next_ < arrivals_.size() && begun_ + arrivals_[next_] <= now) {
            arrive(begun_ + arrivals_[next_]);
            ++next_;
        }
        if (next_ == arrivals_.size() && open_ == 0) {
            const auto lock = std::lock_guard{mutex_};
            done_ = true;
            ended_.notify_all();
        }
    }

    auto arrive(time_point at) -> void {
        auto added = std::make_shared<job>();
        added->number_ = next_;
        added->target_ = &pick_target();
        added->prompt_ = &prompts_[random_.below(prompts_.size())];
        added->arrived_ = at;
        ++report_.requests_;
        if (open_ >= options_.max_open_) {
            ++report_.outcomes_["client_limit"];
            return;
        }
        ++open_;
        send(added);
    }

    auto pick_target() -> const load_target& {
        auto total = 0.0;
        for (const auto& target : options_.targets_) {
            total += target.weight_;
        }
        auto drawn = random_.fraction() * total;
        for (const auto& target : options_.targets_) {
            drawn -= target.weight_;
            if (drawn < 0) {
                return target;
            }
        }
        return options_.targets_.back();
    }

    auto send(const std::shared_ptr<job>& sent) -> void {
        const auto address = endpoints_.pick(clock_.now());
        if (sent->attempts_ > 0 && address != sent->address_) {
            ++report_.address_changes_;
        }
        sent->address_ = address;
        ++sent->attempts_;
        auto call = transport::http_call{};
        call.method_ = "POST";
        call.url_ = "http://" + address + "/v1/completions";
        call.headers_ = headers_of(*sent);
        call.body_ = body_of(*sent).dump();
        call.connect_timeout_ = connect_timeout;
        call.total_timeout_ = options_.deadline_ * patience;
        auto sink = std::make_shared<answer_sink>(
            check_of(*sent), sent->arrived_, clock_, first_token_,
            between_tokens_, [this, sent](attempt_end end) {
                thread_.post_wait(
                    [this, sent, end = std::move(end)] { finish(sent, end); });
            });
        client_.start(std::move(call), std::move(sink));
    }

    auto headers_of(const job& sent) const
        -> std::vector<std::pair<std::string, std::string>> {
        if (options_.direct_) {
            return {{"Content-Type", "application/json"}};
        }
        return {{"Content-Type", "application/json"},
                {"Authorization", "Bearer " + sent.target_->token_},
                {"X-Request-Deadline-Ms",
                 std::to_string(options_.deadline_.count())}};
    }

    auto body_of(const job& sent) const -> json {
        const auto& target = *sent.target_;
        auto body = json{{"prompt", *sent.prompt_},
                         {"max_tokens", options_.max_tokens_}};
        if (options_.direct_) {
            body["model"] = target.model_;
            body["adapter"] = target.adapter_;
            body["request_id"] = run_id_ + std::to_string(sent.number_);
            body["attempt"] = sent.attempts_;
            return body;
        }
        body["model"] = target.adapter_.empty()
                            ? target.model_
                            : target.model_ + ":" + target.adapter_;
        body["stream"] = true;
        return body;
    }

    auto check_of(const job& sent) const -> answer_check {
        const auto& target = *sent.target_;
        auto candidates = std::vector<testing::token_stream>{};
        for (const auto& version : target.versions_) {
            candidates.emplace_back(testing::token_key{
                target.model_, target.adapter_, version, *sent.prompt_});
        }
        return {options_.direct_ ? answer_format::runner
                                 : answer_format::caller,
                std::move(candidates), options_.max_tokens_};
    }

    auto finish(const std::shared_ptr<job>& sent, const attempt_end& end)
        -> void {
        const auto now = clock_.now();
        if (end.address_failed_) {
            endpoints_.failed(sent->address_, now);
            ++report_.failed_attempts_[end.verdict_];
        }
        if (end.refused_) {
            ++report_.refusals_[end.verdict_];
        }
        const auto late = now - sent->arrived_ >= options_.deadline_;
        if (end.retry_after_ && sent->attempts_ <= options_.retries_ && !late) {
            ++report_.retries_;
            thread_.after(std::min(*end.retry_after_, longest_pause),
                          [this, sent] { send(sent); });
            return;
        }
        const auto ok = end.verdict_ == "ok";
        ++report_.outcomes_[end.verdict_];
        report_.ok_ += ok ? 1 : 0;
        report_.attained_ += ok && !late ? 1 : 0;
        report_.tokens_ += end.tokens_;
        --open_;
    }

    auto refresh_endpoints() -> void {
        const auto now = clock_.now();
        if (options_.direct_ || asking_ || !endpoints_.expired(now)) {
            return;
        }
        asking_ = true;
        const auto asked = endpoints_.pick_seed(now);
        auto call = transport::http_call{};
        call.url_ = "http://" + asked + "/v1/endpoints";
        call.connect_timeout_ = connect_timeout;
        call.total_timeout_ = endpoint_timeout;
        client_.fetch(std::move(call),
                      [this, asked](result<transport::http_reply> reply) {
                          thread_.post_wait([this, asked, reply] {
                              take_endpoints(asked, reply);
                          });
                      });
    }

    auto take_endpoints(const std::string& asked,
                        const result<transport::http_reply>& reply) -> void {
        asking_ = false;
        const auto now = clock_.now();
        const auto body =
            reply ? json::parse(reply->body_, nullptr, false) : json{};
        if (!reply || reply->status_ != 200 || !body.is_object()) {
            endpoints_.failed(asked, now);
            endpoints_.update({}, retry_pause, now);
            return;
        }
        endpoints_.update(
            body.value("addresses", std::vector<std::string>{}),
            milliseconds{body.value("time_to_live_ms", std::int64_t{1000})},
            now);
    }

    // Loads that the runners have ended so far.
    auto loads() -> std::uint64_t {
        auto sum = std::uint64_t{0};
        for (const auto& runner : options_.runners_) {
            auto call = transport::http_call{};
            call.url_ = "http://" + runner + "/testing/books";
            call.total_timeout_ = endpoint_timeout;
            const auto reply = client_.fetch_wait(std::move(call));
            const auto body =
                reply ? json::parse(reply->body_, nullptr, false) : json{};
            sum += body.is_object() ? body.value("loads", std::uint64_t{0}) : 0;
        }
        return sum;
    }

    load_options options_;
    std::vector<std::string> prompts_;
    const clock& clock_;
    random_source& random_;
    std::string run_id_;
    internal::endpoints endpoints_;
    bool asking_ = false;
    std::vector<duration> arrivals_;
    std::size_t next_ = 0;
    std::size_t open_ = 0;
    time_point begun_;
    load_report report_;
    latency_histogram first_token_;
    latency_histogram between_tokens_;
    std::mutex mutex_;
    std::condition_variable ended_;
    bool done_ = false;
    // The client ends before the thread to which its sinks post.
    transport::reactor_thread thread_;
    transport::http_client client_;
};

load_generator::load_generator(load_options options,
                               std::vector<std::string> prompts,
                               const clock& time, random_source& random)
    : implementation_{std::make_unique<implementation>(
          std::move(options), std::move(prompts), time, random)} {}

load_generator::~load_generator() = default;

auto load_generator::run() -> load_report {
    return implementation_->run();
}

} // namespace basilstream::bench
