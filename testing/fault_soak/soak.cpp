#include "testing/fault_soak/soak.hpp"

#include <algorithm>
#include <array>
#include <csignal>
#include <future>
#include <utility>

#include "basilstream/protocol/json/json.hpp"

namespace basilstream::testing {
namespace {

// Time in which the daemons find each other before the first fault, and in
// which they settle after the last one.
constexpr auto settling_time = seconds{5};
constexpr auto recovery_time = seconds{4};
constexpr auto final_wait = seconds{5};
constexpr auto stable_window = seconds{3};
constexpr auto route_timeout_ms = 3000;
constexpr auto client_timeout = milliseconds{4500};
constexpr auto grace = seconds{4};
constexpr auto stop_slack = milliseconds{800};
constexpr auto connections_to_daemon = 400;
constexpr auto max_stream_tries = 3;
constexpr auto stream_retry_delay = milliseconds{20};

auto config_text() -> std::string {
    using protocol::json;
    const auto route = [](const char* prefix, const char* kind, int attempts,
                          bool resumable = false) {
        return json{{"name", prefix},
                    {"host", "soak"},
                    {"pathPrefix", prefix},
                    {"kind", kind},
                    {"timeoutMs", route_timeout_ms},
                    {"targetLatencyMs", 500},
                    {"priority", 1},
                    {"service", "app"},
                    {"attempts", attempts},
                    {"resumable", resumable}};
    };
    return json{{"version", 1},
                {"routes",
                 {route("/safe/", "idempotent", 2),
                  route("/once/", "non_idempotent", 2),
                  route("/stream/", "streaming", 1),
                  route("/resume/", "streaming", 2, true)}},
                {"services",
                 {{{"name", "app"},
                   {"healthPath", health_path},
                   {"connectionLimit", 400}}}},
                {"limits",
                 {{"headerBytes", 16384},
                  {"bodyBytes", 1048576},
                  {"headerTimeoutMs", 3000},
                  {"idleTimeoutMs", 15000}}}}
        .dump();
}

} // namespace

// A daemon, the process that runs it now, and its way to the store.
struct fault_soak::node {
    std::string name_;
    std::unique_ptr<fault_proxy> store_proxy_;
    std::unique_ptr<daemon_process> process_;
    // Until when it is disturbed, and from when on it counts as settled.
    time_point disturbed_until_{};
    time_point settled_from_{};
    bool paused_ = false;
};

// A client's request; collects the answer.
class fault_soak::client_call final
    : public transport::answer_observer,
      public std::enable_shared_from_this<client_call> {
public:
    client_call(fault_soak& owner, std::string id, const node& daemon)
        : owner_{owner}, id_{std::move(id)}, node_{daemon},
          sent_at_{owner.clock_.now()} {}

    // Makes this a try for a resumable stream, the `tries`-th.
    auto set_stream(std::string stream, int tries, bool counts) -> void {
        stream_ = std::move(stream);
        tries_ = tries;
        counts_ = counts;
    }
    auto start(const std::string& address, const std::string& bytes) -> void {
        self_ = shared_from_this();
        call_ = owner_.clients_.send(address, bytes, false,
                                     connections_to_daemon, *this);
        if (!call_) {
            end();
            return;
        }
        owner_.thread_.after(client_timeout, [self = shared_from_this()] {
            if (self->self_) {
                self->call_->cancel();
                self->end();
            }
        });
    }
    auto on_answer_head(const transport::answer_head& head) -> bool override {
        answer_.status_ = head.status_;
        answer_.signed_ =
            head.headers_.contains("Basilstream-Response-Signature");
        if (const auto server = head.headers_.find(server_field);
            !server.empty()) {
            owner_.promises_.on_limit_passed_on(
                node_.name_, std::string{server}, owner_.clock_.now());
        }
        return true;
    }
    auto on_answer_body(std::string_view piece) -> void override {
        answer_.body_.append(piece);
    }
    auto on_answer_end() -> void override {
        answer_.complete_ = true;
        end();
    }
    auto on_call_failed(transport::call_failure /*failure*/) -> void override {
        end();
    }

private:
    auto end() -> void {
        const auto keep = std::exchange(self_, nullptr);
        answer_.disturbed_ = node_.disturbed_until_ >= sent_at_;
        owner_.promises_.on_answer(id_, answer_, owner_.clock_.now());
        if (!stream_.empty()) {
            end_stream_try();
        }
    }
    auto end_stream_try() -> void {
        const auto complete = answer_.complete_ && answer_.status_ == 200;
        const auto position = owner_.promises_.on_stream_try(
            {stream_, id_, answer_.status_ == 200 ? answer_.body_ : "",
             complete, counts_ && !answer_.disturbed_});
        if (!complete && position.last_event_ > 0 &&
            tries_ < max_stream_tries && owner_.sending_) {
            owner_.thread_.after(
                stream_retry_delay,
                [&owner = owner_, stream = stream_, tries = tries_] {
                    owner.send_stream_try(stream, tries + 1);
                });
        }
    }

    fault_soak& owner_;
    const std::string id_;
    const node& node_;
    const time_point sent_at_;
    received_answer answer_;
    // Empty if this is no try for a resumable stream.
    std::string stream_;
    int tries_ = 0;
    bool counts_ = false;
    std::shared_ptr<transport::http_call_connection> call_;
    // Keeps the call alive until its end.
    std::shared_ptr<client_call> self_;
};

const std::vector<fault_soak::fault_kind> fault_soak::fault_kinds_ = {
    {"pause_daemon", &fault_soak::pause_daemon},
    {"kill_daemon", &fault_soak::kill_daemon},
    {"kill_all_daemons", &fault_soak::kill_all_daemons},
    {"stop_daemon", &fault_soak::stop_daemon},
    {"reload_daemon", &fault_soak::reload_daemon},
    {"cut_daemon_from_store", &fault_soak::cut_daemon_from_store},
    {"reset_daemon_from_store", &fault_soak::reset_daemon_from_store},
    {"fail_store", &fault_soak::fail_store},
    {"crash_server", &fault_soak::crash_server},
    {"crash_two_servers", &fault_soak::crash_two_servers},
    {"delay_server", &fault_soak::delay_server},
    {"cut_server", &fault_soak::cut_server},
    {"reset_server", &fault_soak::reset_server},
    {"rename_crashing_request", &fault_soak::rename_crashing_request},
    {"limit_server", &fault_soak::limit_server}};

fault_soak::fault_soak(soak_options options)
    : options_{std::move(options)}, random_{options_.seed_},
      thread_{"soak", 4096}, store_{thread_, clock_}, clients_{thread_,
                                                               clock_} {
    store_.put("keyed.op", "config", config_text());
    for (auto number = 0; number < options_.servers_; ++number) {
        servers_.push_back(std::make_unique<stand_in_server>(
            server_context{thread_, clock_, random_, store_, promises_},
            "s" + std::to_string(number)));
    }
    for (auto number = 0; number < options_.daemons_; ++number) {
        auto added = std::make_unique<node>();
        added->name_ = "d" + std::to_string(number);
        added->store_proxy_ =
            std::make_unique<fault_proxy>(thread_, store_.address());
        start_daemon(*added);
        nodes_.push_back(std::move(added));
    }
}

fault_soak::~fault_soak() {
    thread_.stop();
}

auto fault_soak::start_daemon(node& target) -> void {
    auto process_options =
        daemon_options{.name_ = target.name_,
                       .directory_ = options_.directory_,
                       .store_address_ = target.store_proxy_->address(),
                       .grace_seconds_ = static_cast<int>(grace.count()),
                       .picks_ports_ = true};
    if (!options_.program_.empty()) {
        process_options.program_ = options_.program_;
    }
    target.process_ =
        std::make_unique<daemon_process>(std::move(process_options));
    target.paused_ = false;
    disturb(target, seconds{1});
}

auto fault_soak::disturb(node& target, duration time) -> void {
    const auto now = clock_.now();
    target.disturbed_until_ = std::max(target.disturbed_until_, now + time);
    target.settled_from_ = target.disturbed_until_ + stable_window;
}

auto fault_soak::disturb_all(duration time) -> void {
    for (const auto& target : nodes_) {
        disturb(*target, time);
    }
}

auto fault_soak::random_node() -> node& {
    return *nodes_[random_.below(nodes_.size())];
}

auto fault_soak::random_server() -> stand_in_server& {
    return *servers_[random_.below(servers_.size())];
}

auto fault_soak::random_time(int shortest_ms, int longest_ms) -> milliseconds {
    return milliseconds{
        shortest_ms + static_cast<int>(random_.below(static_cast<std::uint64_t>(
                          longest_ms - shortest_ms)))};
}

auto fault_soak::run() -> soak_result {
    auto ended = std::promise<void>{};
    const auto faults_end = settling_time + seconds{options_.seconds_};
    const auto recovery = faults_end + 2 * settling_time;
    thread_.after(settling_time, [this] {
        started_at_ = clock_.now();
        injecting_ = true;
        sending_ = true;
        schedule_fault();
    });
    thread_.after(faults_end, [this] { heal(); });
    thread_.after(recovery, [this] { promises_.begin_recovery(); });
    thread_.after(recovery + recovery_time, [this] { sending_ = false; });
    thread_.after(recovery + recovery_time + final_wait, [this, &ended] {
        promises_.check_recovery();
        promises_.check_resumptions();
        ended.set_value();
    });
    thread_.every(options_.request_interval_, [this] { send_request(); });
    thread_.every(milliseconds{100}, [this] {
        restart_ended();
        clients_.sweep();
    });
    thread_.start();
    ended.get_future().wait();
    thread_.stop();
    return {promises_.violations(), promises_.sent(), promises_.served(),
            promises_.crashes(), injected_};
}

auto fault_soak::schedule_fault() -> void {
    if (!injecting_) {
        return;
    }
    const auto only = std::find_if(
        fault_kinds_.begin(), fault_kinds_.end(),
        [&](const auto& kind) { return options_.only_fault_ == kind.name_; });
    const auto& kind = only != fault_kinds_.end()
                           ? *only
                           : fault_kinds_[random_.below(fault_kinds_.size())];
    if (options_.only_fault_.empty() || only != fault_kinds_.end()) {
        const auto at = std::chrono::duration_cast<milliseconds>(clock_.now() -
                                                                 started_at_);
        injected_.push_back(std::to_string(at.count()) + " " + kind.name_);
        (this->*kind.inject_)();
    }
    // Series of faults in quick succession, with pauses between them.
    const auto pause = random_.below(4) == 0 || only != fault_kinds_.end()
                           ? random_time(1500, 3000)
                           : random_time(50, 800);
    thread_.after(pause, [this] { schedule_fault(); });
}

auto fault_soak::restart_ended() -> void {
    for (const auto& target : nodes_) {
        if (target->process_->ended()) {
            if (const auto end = target->process_->unexpected_end();
                !end.empty()) {
                promises_.report(promise::ended, target->name_ + ": " + end);
            }
            start_daemon(*target);
        }
    }
}

auto fault_soak::heal() -> void {
    injecting_ = false;
    store_.set_fault(store_fault::none);
    for (const auto& target : nodes_) {
        target->process_->signal(SIGCONT);
        target->paused_ = false;
        target->store_proxy_->set_mode(proxy_mode::forward);
    }
    for (const auto& server : servers_) {
        server->proxy().set_mode(proxy_mode::forward);
        server->proxy().set_delay(milliseconds{0});
        server->set_limit(std::nullopt);
    }
}

auto fault_soak::pause_daemon() -> void {
    auto& target = random_node();
    const auto time = random_time(300, 4000);
    disturb(target, time + seconds{1});
    target.process_->signal(SIGSTOP);
    target.paused_ = true;
    thread_.after(time, [&target] {
        target.process_->signal(SIGCONT);
        target.paused_ = false;
    });
}

auto fault_soak::kill_daemon() -> void {
    auto& target = random_node();
    disturb(target, seconds{1});
    target.process_->signal(SIGKILL);
}

auto fault_soak::kill_all_daemons() -> void {
    // Rare, so that the daemons also run for longer.
    if (random_.below(3) == 0) {
        disturb_all(seconds{1});
        for (const auto& target : nodes_) {
            target->process_->signal(SIGKILL);
        }
    }
}

auto fault_soak::stop_daemon() -> void {
    auto& target = random_node();
    disturb(target, grace + seconds{1});
    target.process_->signal(SIGTERM);
    const auto* const process = target.process_.get();
    thread_.after(grace + stop_slack, [this, &target, process] {
        // A pause in between takes its time from the grace time.
        if (target.process_.get() == process && !target.process_->ended() &&
            !target.paused_ && target.disturbed_until_ <= clock_.now()) {
            promises_.report(promise::stop, target.name_);
            target.process_->signal(SIGKILL);
        }
    });
}

auto fault_soak::reload_daemon() -> void {
    random_node().process_->signal(SIGHUP);
}

auto fault_soak::cut_daemon_from_store() -> void {
    auto& target = random_node();
    const auto time = random_time(500, 5000);
    disturb(target, time + seconds{2});
    target.store_proxy_->set_mode(random_.below(2) == 0 ? proxy_mode::silent
                                                        : proxy_mode::one_way);
    thread_.after(time, [&target] {
        target.store_proxy_->set_mode(proxy_mode::forward);
    });
}

auto fault_soak::reset_daemon_from_store() -> void {
    auto& target = random_node();
    disturb(target, seconds{1});
    target.store_proxy_->reset_all();
}

auto fault_soak::fail_store() -> void {
    constexpr auto faults =
        std::array{store_fault::refuse, store_fault::silent,
                   store_fault::lose_answers, store_fault::slow};
    const auto time = random_time(500, 5000);
    disturb_all(time + seconds{2});
    store_.set_fault(faults[random_.below(faults.size())]);
    thread_.after(time, [this] { store_.set_fault(store_fault::none); });
}

auto fault_soak::crash_server() -> void {
    random_server().crash(random_.below(2) == 0);
}

auto fault_soak::crash_two_servers() -> void {
    crash_server();
    crash_server();
}

auto fault_soak::delay_server() -> void {
    auto& proxy = random_server().proxy();
    proxy.set_delay(random_time(20, 600));
    thread_.after(random_time(500, 3000),
                  [&proxy] { proxy.set_delay(milliseconds{0}); });
}

auto fault_soak::cut_server() -> void {
    auto& proxy = random_server().proxy();
    proxy.set_mode(random_.below(2) == 0 ? proxy_mode::silent
                                         : proxy_mode::one_way);
    thread_.after(random_time(500, 3000),
                  [&proxy] { proxy.set_mode(proxy_mode::forward); });
}

auto fault_soak::reset_server() -> void {
    random_server().proxy().reset_all();
}

auto fault_soak::rename_crashing_request() -> void {
    crashing_requests_ += random_.below(3) == 0 ? 1 : 0;
}

auto fault_soak::limit_server() -> void {
    auto& server = random_server();
    constexpr auto limits = std::array{0.3, 1.1, 2.5, 8.0};
    server.set_limit(limits[random_.below(limits.size())]);
    // Now and then the limit is replaced before it ends.
    thread_.after(random_time(4000, 12'000),
                  [&server] { server.set_limit(std::nullopt); });
}

auto fault_soak::send_request() -> void {
    if (!sending_) {
        return;
    }
    constexpr auto kinds =
        std::array{repeatability::safe,      repeatability::safe,
                   repeatability::safe,      repeatability::safe,
                   repeatability::once,      repeatability::once,
                   repeatability::once,      repeatability::once,
                   repeatability::stream,    repeatability::stream,
                   repeatability::stream,    repeatability::resumable,
                   repeatability::resumable, repeatability::resumable};
    constexpr auto crashing_share = std::uint64_t{30};
    send(random_.below(crashing_share) == 0
             ? repeatability::crashing
             : kinds[random_.below(kinds.size())]);
}

auto fault_soak::version_serves(const std::string& version) const -> bool {
    return version.empty() ||
           std::count_if(
               servers_.begin(), servers_.end(), [&](const auto& server) {
                   return server->running() && server->version() == version;
               }) >= 2;
}

auto fault_soak::send_to(const node& target, sent_request request,
                         transport::header_list headers,
                         const std::shared_ptr<client_call>& call) -> void {
    headers.add("Host", "soak");
    headers.add("Basilstream-Request-Id", request.id_);
    headers.add("Basilstream-Deadline-Milliseconds",
                std::to_string(route_timeout_ms));
    headers.add(daemon_field, target.name_);
    headers.add(settled_field, clock_.now() > target.settled_from_ ? "1" : "0");
    const auto bytes =
        transport::write_request("POST", request.path_, headers, request.body_);
    promises_.on_sent(std::move(request), clock_.now());
    call->start(target.process_->caller_address(), bytes);
}

auto fault_soak::send_stream_try(std::string stream, int tries) -> void {
    const auto& target = random_node();
    const auto id = "q" + std::to_string(++next_id_);
    if (stream.empty()) {
        stream = id;
    }
    const auto position = promises_.position_of(stream);
    auto headers = transport::header_list{};
    if (position.last_event_ > 0) {
        headers.add("Last-Event-Id", std::to_string(position.last_event_));
        headers.add("Resumes", position.began_as_);
    }
    const auto call = std::make_shared<client_call>(*this, id, target);
    call->set_stream(stream, tries,
                     clock_.now() > target.settled_from_ &&
                         version_serves(position.version_));
    send_to(target,
            {id, repeatability::resumable, "/resume/" + stream,
             "body of " + stream},
            std::move(headers), call);
}

auto fault_soak::send(repeatability kind) -> void {
    if (kind == repeatability::resumable) {
        send_stream_try({}, 1);
        return;
    }
    const auto& target = random_node();
    const auto id = "q" + std::to_string(++next_id_);
    auto request = sent_request{id, kind, "/safe/" + id, "body of " + id};
    if (kind == repeatability::once) {
        request.path_ = "/once/" + id;
    } else if (kind == repeatability::stream) {
        request.path_ = "/stream/" + id;
    } else if (kind == repeatability::crashing) {
        // Any of the crashing requests so far may come again.
        request.path_ = "/safe/crash" +
                        std::to_string(random_.below(
                            static_cast<std::uint64_t>(crashing_requests_)));
        request.body_ = crashing_body;
    }
    send_to(target, std::move(request), {},
            std::make_shared<client_call>(*this, id, target));
}

} // namespace basilstream::testing
