// Runs complete daemons against servers of which some name a rate limit in
// their answers, and checks the promise that operators of servers are given:
// the daemons that have passed on such an answer together send at most one and
// a half times what the limit allows, and five requests more, in any 4 s.

#include <algorithm>
#include <cstdlib>
#include <future>
#include <iostream>
#include <map>
#include <optional>

#include <gtest/gtest.h>

#include "basilstream/daemon/relay_program/relay_program_test_world.hpp"
#include "basilstream/transport/http_pool/http_pool.hpp"
#include "basilstream/transport/http_session/http_session.hpp"

namespace basilstream::testing {
namespace {

using daemon::memory_log;
using daemon::shared_topic;

// The promise holds from this long after a server has first named its limit.
constexpr auto stable_window = seconds{3};
// A daemon counts from this long after it has passed on a limit.
constexpr auto notice_delay = milliseconds{500};
constexpr auto promise_window = seconds{4};
constexpr auto settling_time = seconds{5};

// A limit that servers name from a time after the start of traffic on; none if
// empty.
struct limit_change {
    milliseconds at_{0};
    std::string value_;
};

struct scenario {
    const char* name_ = "";
    int daemons_ = 2;
    int servers_ = 4;
    int limited_servers_ = 1;
    std::vector<limit_change> limits_ = {{seconds{1}, "1.1"}};
    milliseconds request_interval_{25};
    milliseconds answer_time_{20};
    // Number of adapters that requests ask for; servers are plain if zero.
    int adapters_ = 0;
    // Interval at which a daemon is replaced by a new process, none if zero.
    milliseconds daemon_restart_interval_{0};
    // Lowest share of the requests that are served, and lowest share of the
    // last limit at which the limited servers are used.
    double min_served_ = 0.97;
    double min_use_ = 0;
    milliseconds length_{14'000};
};

struct arrival {
    time_point at_;
    int server_ = 0;
    // Index of the daemon; -1 for a call that no client made.
    int daemon_ = -1;
};

// Announces itself in the store and answers requests. All servers share one
// thread.
class limited_server {
public:
    limited_server(int number, bool limited, const scenario& options,
                   transport::reactor_thread& thread, const clock& time,
                   memory_log& log, std::vector<arrival>& arrivals)
        : number_{number}, limited_{limited}, options_{options},
          thread_{thread}, clock_{time}, arrivals_{arrivals} {
        auto opened = transport::http_session_server::open(
            thread_, clock_, {.address_ = "127.0.0.1:0"},
            [this](const transport::request_message& request,
                   transport::http_session& session) {
                answer(request, session);
            });
        server_ = std::move(*opened);
        log.append(shared_topic::backends, std::nullopt,
                   {"s" + std::to_string(number),
                    server_->address() + " 1000" +
                        (options.adapters_ > 0 ? " m" : "")});
    }
    auto set_limit(const std::string& limit) -> void { limit_ = limit; }

private:
    auto answer(const transport::request_message& request,
                transport::http_session& session) -> void {
        const auto daemon = request.headers_.find("X-Daemon");
        arrivals_.push_back(
            {clock_.now(), number_,
             daemon.empty() ? -1 : std::stoi(std::string{daemon})});
        auto headers = transport::header_list{};
        headers.add("X-Id", std::string{request.headers_.find("X-Id")});
        if (limited_ && !limit_.empty()) {
            headers.add("X-Rate-Limit", limit_);
            headers.add("X-Server", std::to_string(number_));
        }
        if (request.target_ == "/order") {
            ++orders_;
            session.respond(202, headers, "");
        } else if (request.target_ == "/report") {
            session.respond(200, headers, std::to_string(orders_) + " m");
        } else {
            respond_later(std::move(headers), session);
        }
    }

    auto respond_later(transport::header_list headers,
                       transport::http_session& session) -> void {
        const auto pending = std::make_shared<pending_answer>(session);
        thread_.after(options_.answer_time_,
                      [pending, headers = std::move(headers)] {
                          pending->respond(headers);
                      });
    }

    // An answer that is dropped if its client leaves first.
    class pending_answer final : public transport::client_observer {
    public:
        explicit pending_answer(transport::http_session& session)
            : session_{&session} {
            session.observe(this);
        }
        auto respond(const transport::header_list& headers) -> void {
            if (session_ != nullptr) {
                session_->observe(nullptr);
                std::exchange(session_, nullptr)->respond(200, headers, "ok");
            }
        }
        auto on_client_left() -> void override { session_ = nullptr; }
        auto on_client_drained() -> void override {}

    private:
        transport::http_session* session_;
    };

    const int number_;
    const bool limited_;
    const scenario& options_;
    transport::reactor_thread& thread_;
    const clock& clock_;
    std::vector<arrival>& arrivals_;
    std::unique_ptr<transport::http_session_server> server_;
    std::string limit_;
    int orders_ = 0;
};

// Daemons, servers and clients of one scenario. Servers and clients run on one
// thread, which also replaces daemons.
class deployment {
public:
    explicit deployment(const scenario& options)
        : options_{options}, thread_{"world", 16'384}, clients_{thread_,
                                                                clock_} {
        set_config();
        for (auto number = 0; number < options_.servers_; ++number) {
            servers_.push_back(std::make_unique<limited_server>(
                number, number < options_.limited_servers_, options_, thread_,
                clock_, installation_.log_, arrivals_));
        }
        daemons_.resize(options_.daemons_);
        for (auto index = 0; index < options_.daemons_; ++index) {
            start_daemon(index);
        }
    }
    ~deployment() {
        thread_.stop();
        for (auto& running : daemons_) {
            running.reset();
        }
    }
    deployment(const deployment&) = delete;
    auto operator=(const deployment&) -> deployment& = delete;

    // Lets the daemons find each other, then plays the scenario.
    auto run() -> void {
        auto ended = std::promise<void>{};
        thread_.after(settling_time, [&] { begin(); });
        thread_.after(settling_time + options_.length_,
                      [&] { ended.set_value(); });
        thread_.start();
        ended.get_future().wait();
        thread_.stop();
    }

    // Returns the highest number of arrivals that count in any window, less
    // the number allowed, over all servers and limits.
    [[nodiscard]] auto excess() const -> int {
        auto worst = -1'000;
        for (auto server = 0; server < options_.limited_servers_; ++server) {
            for (const auto& last : arrivals_) {
                const auto allowed = allowed_until(last.at_);
                if (last.server_ != server || !allowed) {
                    continue;
                }
                const auto count = static_cast<int>(std::count_if(
                    arrivals_.begin(), arrivals_.end(),
                    [&](const arrival& entry) {
                        return entry.server_ == server &&
                               entry.at_ <= last.at_ &&
                               entry.at_ > last.at_ - promise_window &&
                               counts(entry);
                    }));
                worst = std::max(worst, count - *allowed);
            }
        }
        return worst;
    }
    [[nodiscard]] auto served() const -> double {
        return static_cast<double>(answered_) / static_cast<double>(sent_);
    }
    [[nodiscard]] auto refusals() const -> int { return refused_; }
    [[nodiscard]] auto hinted_refusals() const -> int { return hinted_; }
    // Returns the share of the last limit at which the limited servers were
    // used, from `stable_window` after the change to it.
    [[nodiscard]] auto use_of_last_limit() const -> double {
        const auto& last = options_.limits_.back();
        const auto from = traffic_from_ + last.at_ + stable_window;
        const auto until = traffic_from_ + options_.length_;
        const auto count = std::count_if(
            arrivals_.begin(), arrivals_.end(), [&](const arrival& entry) {
                return entry.server_ < options_.limited_servers_ &&
                       entry.at_ >= from && entry.at_ < until;
            });
        const auto time = std::chrono::duration<double>(until - from).count();
        const auto limit = last.value_.empty() ? 1.0 : std::stod(last.value_);
        return static_cast<double>(count) /
               (limit * time * options_.limited_servers_);
    }

private:
    auto set_config() -> void {
        auto route = coordination::relay_route{};
        route.name_ = "all";
        route.host_ = "x";
        route.path_prefix_ = "/";
        route.kind_ = coordination::request_kind::idempotent;
        route.attempts_ = 2;
        route.objective_ = milliseconds{400};
        route.timeout_ = seconds{8};
        route.targets_ = {{"app", 1}};
        auto service = coordination::relay_service{.name_ = "app",
                                                   .connection_limit_ = 400};
        if (options_.adapters_ > 0) {
            auto model = coordination::service_model{.name_ = "m"};
            model.weights_mb_ = 100;
            model.store_load_time_ = seconds{1};
            model.adapters_ = options_.adapters_;
            model.adapter_mb_ = 1;
            auto engine = std::make_shared<coordination::service_engine>();
            engine->slots_ = 16;
            engine->kv_tokens_ = 100'000;
            engine->weights_mb_ = 150;
            engine->adapter_slots_ = 6;
            engine->loads_per_second_ = 2;
            engine->models_ = {model};
            service.engine_ = engine;
        }
        auto config = std::make_shared<coordination::relay_config>();
        config->version_ = 1;
        config->routes_ = {route};
        config->services_ = {service};
        installation_.config_ = config;
        installation_.log_.append(shared_topic::configuration, std::nullopt,
                                  {"routes", "1"});
    }

    auto start_daemon(int index) -> void {
        auto settings = daemon::relay_daemon_settings{};
        settings.name_ = "d" + std::to_string(index);
        settings.zone_ = "a";
        settings.caller_address_ = "127.0.0.1:0";
        settings.readiness_address_ = "127.0.0.1:0";
        settings.directory_address_ = "127.0.0.1:0";
        settings.peer_ip_ = "127.0.0.1";
        settings.logging_ = {std::getenv("SERVER_LIMITS_LOG") == nullptr
                                 ? transport::log_level::off
                                 : transport::log_level::info};
        auto started =
            daemon::relay_program::start(settings, installation_, [] {});
        ASSERT_TRUE(started);
        daemons_[index] = std::move(*started);
        std::erase_if(told_, [&](const auto& entry) {
            return entry.first.first == index;
        });
    }

    auto begin() -> void {
        traffic_from_ = clock_.now();
        thread_.every(options_.request_interval_, [this] { send(); });
        for (const auto& change : options_.limits_) {
            thread_.after(change.at_, [this, change] {
                for (const auto& server : servers_) {
                    server->set_limit(change.value_);
                }
            });
        }
        if (options_.daemon_restart_interval_.count() > 0) {
            thread_.every(options_.daemon_restart_interval_, [this] {
                next_restart_ = (next_restart_ + 1) % options_.daemons_;
                daemons_[next_restart_].reset();
                start_daemon(next_restart_);
            });
        }
    }

    auto send() -> void {
        const auto index = sent_ % options_.daemons_;
        auto call = transport::small_call{};
        call.address_ = daemons_[index]->caller_address();
        call.method_ = "POST";
        call.target_ = "/" + std::to_string(sent_);
        call.timeout_ = seconds{9};
        call.connections_ = 400;
        call.headers_.add("Host", "x");
        call.headers_.add("X-Id", "q" + std::to_string(sent_));
        call.headers_.add("X-Daemon", std::to_string(index));
        if (options_.adapters_ > 0) {
            call.headers_.add("X-Model", "m");
            call.headers_.add(
                "X-Adapter",
                "a" + std::to_string(1 + random_.below(options_.adapters_)));
        }
        ++sent_;
        transport::fetch(
            clients_, thread_, std::move(call),
            [this, index](const auto& reply) { on_reply(index, reply); });
    }

    auto on_reply(int index, const result<transport::small_reply>& reply)
        -> void {
        if (!reply) {
            return;
        }
        if (reply->status_ == 200) {
            ++answered_;
            if (const auto server = reply->headers_.find("X-Server");
                !server.empty()) {
                told_.try_emplace({index, std::stoi(std::string{server})},
                                  clock_.now());
            }
        } else if (reply->status_ == 503) {
            ++refused_;
            hinted_ += reply->headers_.contains("Retry-After") ? 1 : 0;
        }
    }

    // Calls that no client made come from the owner of placement. They count
    // as if it passes a limit on as soon as that is named.
    [[nodiscard]] auto counts(const arrival& entry) const -> bool {
        if (entry.daemon_ < 0) {
            return entry.at_ >=
                   traffic_from_ + options_.limits_.front().at_ + notice_delay;
        }
        const auto told = told_.find({entry.daemon_, entry.server_});
        return told != told_.end() && entry.at_ >= told->second + notice_delay;
    }

    // Returns how many arrivals are allowed in the window that ends at `end`,
    // by the highest limit that held within it; empty if the promise does not
    // hold yet.
    [[nodiscard]] auto allowed_until(time_point end) const
        -> std::optional<int> {
        auto highest = 0.0;
        for (auto number = std::size_t{0}; number < options_.limits_.size();
             ++number) {
            const auto& change = options_.limits_[number];
            const auto replaced = number + 1 < options_.limits_.size();
            const auto begins_after_it =
                replaced &&
                end - promise_window > traffic_from_ +
                                           options_.limits_[number + 1].at_ +
                                           notice_delay;
            if (end < traffic_from_ + change.at_ || begins_after_it) {
                continue;
            }
            if (change.value_.empty()) {
                return std::nullopt;
            }
            highest = std::max(highest, std::stod(change.value_));
        }
        const auto first = traffic_from_ + options_.limits_.front().at_;
        if (end < first + stable_window) {
            return std::nullopt;
        }
        return static_cast<int>(1.5 * highest * promise_window.count() + 5);
    }

    const scenario options_;
    steady_clock clock_;
    seeded_random random_{7};
    transport::reactor_thread thread_;
    transport::http_pool clients_;
    daemon::text_installation installation_;
    std::vector<arrival> arrivals_;
    // When a daemon first passed on the limit of a server.
    std::map<std::pair<int, int>, time_point> told_;
    std::vector<std::unique_ptr<limited_server>> servers_;
    std::vector<std::unique_ptr<daemon::relay_program>> daemons_;
    time_point traffic_from_{};
    int sent_ = 0;
    int answered_ = 0;
    int refused_ = 0;
    int hinted_ = 0;
    int next_restart_ = 0;
};

class server_limits : public ::testing::TestWithParam<scenario> {};

// Daemons together sent a server several times the rate that it had named.
TEST_P(server_limits, server_gets_more_requests_than_it_named) {
    auto world = deployment{GetParam()};
    world.run();
    std::cout << GetParam().name_ << ": " << world.excess()
              << " requests above what 4 s allow, " << world.served()
              << " served, " << world.refusals() << " refused, "
              << world.use_of_last_limit() << " of the limit used\n";
    EXPECT_LE(world.excess(), 0);
    EXPECT_GE(world.served(), GetParam().min_served_);
    EXPECT_GE(world.use_of_last_limit(), GetParam().min_use_);
    EXPECT_EQ(world.refusals(), world.hinted_refusals());
}

INSTANTIATE_TEST_SUITE_P(
    scenarios, server_limits,
    ::testing::Values(scenario{.name_ = "one_of_four_servers_2_daemons"},
                      scenario{.name_ = "one_of_four_servers_7_daemons",
                               .daemons_ = 7},
                      scenario{.name_ = "only_server_7_daemons",
                               .daemons_ = 7,
                               .servers_ = 1,
                               .limits_ = {{seconds{1}, "4"}},
                               .request_interval_ = milliseconds{100},
                               .min_served_ = 0.3,
                               .min_use_ = 0.8},
                      scenario{.name_ = "limit_changes_and_ends",
                               .daemons_ = 7,
                               .limits_ = {{seconds{1}, "1.1"},
                                           {seconds{7}, "6"},
                                           {seconds{13}, "0.4"},
                                           {seconds{19}, ""}},
                               .min_use_ = 3,
                               .length_ = milliseconds{26'000}},
                      scenario{.name_ = "daemons_are_replaced",
                               .daemons_ = 7,
                               .daemon_restart_interval_ = milliseconds{2500},
                               .min_served_ = 0.9,
                               .length_ = milliseconds{20'000}},
                      scenario{.name_ = "adapters_are_loaded",
                               .daemons_ = 7,
                               .servers_ = 3,
                               .adapters_ = 24,
                               .min_served_ = 0.3}),
    [](const auto& info) { return std::string{info.param.name_}; });

} // namespace
} // namespace basilstream::testing
