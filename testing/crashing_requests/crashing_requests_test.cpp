// Runs several complete daemons against servers that end when they begin to run
// a certain request, and checks the promise that callers and operators are
// given: once such a request has crashed three servers and the daemons had time
// to learn of it, it reaches servers at most three times more.

#include <algorithm>
#include <array>
#include <cstdlib>
#include <future>
#include <iostream>
#include <optional>
#include <set>

#include <gtest/gtest.h>

#include "basilstream/daemon/relay_program/relay_program_test_world.hpp"
#include "basilstream/transport/http_pool/http_pool.hpp"
#include "basilstream/transport/http_session/http_session.hpp"

namespace basilstream::testing {
namespace {

using daemon::memory_log;
using daemon::shared_topic;

// The promise holds for daemons that have run, and reached an available store,
// for this long.
constexpr auto stable_window = seconds{3};
constexpr auto max_late_retries = 3;
constexpr auto crashes_before_counting = std::size_t{3};
constexpr auto crashing_body = "crash";
constexpr auto daemon_count = 6;

struct scenario {
    const char* name_ = "";
    int servers_ = 4;
    // Interval between two requests that crash servers.
    milliseconds interval_{40};
    // Whether a crashed server comes back under the id that it had.
    bool same_id_ = true;
    milliseconds restart_delay_{1000};
    // Whether a crashed server's connections stay open until it restarts.
    bool silent_ = false;
    // A crashed server's announcement expires after three missed heartbeats.
    milliseconds announcement_lifetime_{3600};
    // When the store becomes unavailable, and for how long.
    milliseconds outage_at_{0};
    milliseconds outage_{0};
    // Interval at which daemons in turn are replaced by new processes, none if
    // zero, and the number replaced each time.
    milliseconds daemon_restart_interval_{0};
    int daemons_replaced_together_ = 1;
    // Whether the daemons reach each other; if not, they share the store only.
    bool peers_connected_ = true;
    milliseconds length_{12'000};
};

// The crashing request reached a server process.
struct crashing_run {
    time_point at_;
    // Whether the daemon that sent it has run for `stable_window`.
    bool daemon_settled_ = false;
    int server_ = 0;
    int start_ = 0;
};

// Announces itself in the store, answers requests, and ends abruptly when it
// gets the crashing request. All servers share one thread.
class crashing_server {
public:
    crashing_server(int number, const scenario& options,
                    transport::reactor_thread& thread, const clock& time,
                    memory_log& log, std::vector<crashing_run>& runs)
        : number_{number}, options_{options}, thread_{thread}, clock_{time},
          log_{log}, runs_{runs} {
        open();
    }

private:
    auto open() -> void {
        server_.reset();
        silent_ = false;
        auto opened = transport::http_session_server::open(
            thread_, clock_, {.address_ = address_},
            [this](const transport::request_message& request,
                   transport::http_session& session) {
                answer(request, session);
            });
        if (!opened) {
            thread_.after(milliseconds{20}, [this] { open(); });
            return;
        }
        server_ = std::move(*opened);
        address_ = server_->address();
        ++starts_;
        id_ = "s" + std::to_string(number_) +
              (options_.same_id_ ? "" : "-" + std::to_string(starts_));
        announce(id_, starts_);
    }

    // An announcement made during an outage of the store is made after it.
    auto announce(const std::string& id, int start) -> void {
        if (!log_.available()) {
            thread_.after(milliseconds{200},
                          [=, this] { announce(id, start); });
        } else if (start == starts_) {
            log_.append(shared_topic::backends, std::nullopt,
                        {id, address_ + " " + std::to_string(1000 + start)});
        }
    }

    auto expire(const std::string& id, int start) -> void {
        if (!log_.available()) {
            thread_.after(milliseconds{200}, [=, this] { expire(id, start); });
        } else if (id != id_ || start == starts_) {
            log_.append(shared_topic::backends, std::nullopt, {id, {}});
        }
    }

    auto answer(const transport::request_message& request,
                transport::http_session& session) -> void {
        if (silent_) {
            return;
        }
        if (request.body_ == crashing_body) {
            runs_.push_back({clock_.now(),
                             request.headers_.find("X-Settled") == "1", number_,
                             starts_});
            thread_.after(milliseconds{0}, [this] { crash(); });
            return;
        }
        auto headers = transport::header_list{};
        headers.add("X-Id", std::string{request.headers_.find("X-Id")});
        session.respond(200, headers, "ok");
    }

    auto crash() -> void {
        if (!server_ || silent_) {
            return;
        }
        if (options_.silent_) {
            silent_ = true;
        } else {
            server_.reset();
        }
        thread_.after(options_.announcement_lifetime_,
                      [this, id = id_, start = starts_] { expire(id, start); });
        thread_.after(options_.restart_delay_, [this] { open(); });
    }

    const int number_;
    const scenario& options_;
    transport::reactor_thread& thread_;
    const clock& clock_;
    memory_log& log_;
    std::vector<crashing_run>& runs_;
    std::unique_ptr<transport::http_session_server> server_;
    std::string address_ = "127.0.0.1:0";
    std::string id_;
    int starts_ = 0;
    bool silent_ = false;
};

// Daemons, servers and clients of one scenario. Servers and clients run on one
// thread, which also replaces daemons.
class deployment {
public:
    explicit deployment(const scenario& options)
        : options_{options}, thread_{"world", 4096}, clients_{thread_, clock_} {
        auto route = coordination::relay_route{};
        route.name_ = "all";
        route.host_ = "x";
        route.path_prefix_ = "/";
        route.kind_ = coordination::request_kind::idempotent;
        route.attempts_ = 2;
        route.targets_ = {{"app", 1}};
        auto config = std::make_shared<coordination::relay_config>();
        config->version_ = 1;
        config->routes_ = {route};
        config->services_ = {{.name_ = "app", .connection_limit_ = 200}};
        installation_.config_ = config;
        installation_.log_.append(shared_topic::configuration, std::nullopt,
                                  {"routes", "1"});
        installation_.log_.set_writable(shared_topic::daemons,
                                        options_.peers_connected_);
        for (auto number = 0; number < options_.servers_; ++number) {
            servers_.push_back(std::make_unique<crashing_server>(
                number, options_, thread_, clock_, installation_.log_, runs_));
        }
        for (auto index = 0; index < daemon_count; ++index) {
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
        constexpr auto settling_time = seconds{4};
        auto ended = std::promise<void>{};
        thread_.after(settling_time, [&] { begin(); });
        thread_.after(settling_time + options_.length_,
                      [&] { ended.set_value(); });
        thread_.start();
        ended.get_future().wait();
        thread_.stop();
    }

    // Returns the number of runs that the promise limits: those sent by daemons
    // that were in touch with the store, `stable_window` after the third crash.
    [[nodiscard]] auto late_retries() const -> int {
        const auto third = crash_time(crashes_before_counting);
        if (!third) {
            return 0;
        }
        return static_cast<int>(std::count_if(
            runs_.begin(), runs_.end(), [&](const crashing_run& run) {
                const auto before_outage =
                    outage_started_ && run.at_ < *outage_started_;
                const auto in_touch =
                    (before_outage || run.at_ > stable_from_ + stable_window) &&
                    run.daemon_settled_;
                return in_touch && run.at_ > *third + stable_window;
            }));
    }
    [[nodiscard]] auto crashes() const -> std::size_t {
        auto processes = std::set<std::pair<int, int>>{};
        for (const auto& run : runs_) {
            processes.emplace(run.server_, run.start_);
        }
        return processes.size();
    }
    [[nodiscard]] auto harmless_served() const -> double {
        return static_cast<double>(harmless_answered_) /
               static_cast<double>(harmless_sent_);
    }

private:
    // Returns when the `count`-th server process crashed, if it did.
    [[nodiscard]] auto crash_time(std::size_t count) const
        -> std::optional<time_point> {
        auto processes = std::set<std::pair<int, int>>{};
        for (const auto& run : runs_) {
            processes.emplace(run.server_, run.start_);
            if (processes.size() == count) {
                return run.at_;
            }
        }
        return std::nullopt;
    }

    auto start_daemon(int index) -> void {
        auto settings = daemon::relay_daemon_settings{};
        settings.name_ = "d" + std::to_string(index);
        settings.zone_ = "a";
        settings.caller_address_ = "127.0.0.1:0";
        settings.readiness_address_ = "127.0.0.1:0";
        settings.directory_address_ = "127.0.0.1:0";
        settings.peer_ip_ = "127.0.0.1";
        settings.limits_.retry_ratio_ = 1;
        settings.limits_.retry_allowance_ = 1000;
        settings.logging_ = {std::getenv("CRASHING_REQUESTS_LOG") == nullptr
                                 ? transport::log_level::off
                                 : transport::log_level::info};
        auto started =
            daemon::relay_program::start(settings, installation_, [] {});
        ASSERT_TRUE(started);
        daemons_[index] = std::move(*started);
        started_at_[index] = clock_.now();
    }

    auto begin() -> void {
        thread_.every(options_.interval_,
                      [this] { send(crashing_body, "/same"); });
        thread_.every(milliseconds{40}, [this] {
            send("harmless", "/" + std::to_string(harmless_sent_++));
        });
        if (options_.outage_.count() > 0) {
            thread_.after(options_.outage_at_, [this] {
                outage_started_ = clock_.now();
                installation_.log_.set_available(false);
            });
            thread_.after(options_.outage_at_ + options_.outage_, [this] {
                stable_from_ = clock_.now();
                installation_.log_.set_available(true);
            });
        }
        if (options_.daemon_restart_interval_.count() > 0) {
            thread_.every(options_.daemon_restart_interval_, [this] {
                for (auto number = 0;
                     number < options_.daemons_replaced_together_; ++number) {
                    next_restart_ = (next_restart_ + 1) % daemon_count;
                    daemons_[next_restart_].reset();
                    start_daemon(next_restart_);
                }
            });
        }
    }

    auto send(const std::string& body, const std::string& path) -> void {
        const auto harmless = body != crashing_body;
        const auto index =
            (harmless ? harmless_sent_ : crashing_sent_++) % daemon_count;
        auto call = transport::small_call{};
        call.address_ = daemons_[index]->caller_address();
        call.method_ = "POST";
        call.target_ = path;
        call.body_ = body;
        call.headers_.add("Host", "x");
        call.headers_.add("X-Id", "q" + std::to_string(++requests_));
        call.headers_.add(
            "X-Settled",
            clock_.now() > started_at_[index] + stable_window ? "1" : "0");
        transport::fetch(clients_, thread_, std::move(call),
                         [this, harmless](const auto& reply) {
                             const auto answered =
                                 reply && reply->status_ == 200;
                             harmless_answered_ += harmless && answered ? 1 : 0;
                         });
    }

    const scenario options_;
    steady_clock clock_;
    transport::reactor_thread thread_;
    transport::http_pool clients_;
    daemon::text_installation installation_;
    std::vector<crashing_run> runs_;
    std::vector<std::unique_ptr<crashing_server>> servers_;
    std::array<std::unique_ptr<daemon::relay_program>, daemon_count> daemons_;
    std::array<time_point, daemon_count> started_at_;
    // End of the store's last outage; in the past if there was none.
    time_point stable_from_{};
    std::optional<time_point> outage_started_;
    int requests_ = 0;
    int next_restart_ = 0;
    int crashing_sent_ = 0;
    int harmless_sent_ = 0;
    int harmless_answered_ = 0;
};

class crashing_requests : public ::testing::TestWithParam<scenario> {};

// A request that crashed three servers was sent on, because crashes became
// known late, were merged, or were forgotten.
TEST_P(crashing_requests, request_is_sent_on_after_its_third_crash) {
    auto world = deployment{GetParam()};
    world.run();
    std::cout << GetParam().name_ << ": " << world.crashes()
              << " servers crashed, " << world.late_retries()
              << " late retries, " << world.harmless_served()
              << " of the harmless requests served\n";
    EXPECT_LE(world.late_retries(), max_late_retries);
    EXPECT_GT(world.harmless_served(), 0.5);
}

INSTANTIATE_TEST_SUITE_P(
    scenarios, crashing_requests,
    ::testing::Values(
        scenario{.name_ = "servers_return_under_their_id"},
        scenario{.name_ = "servers_return_under_new_ids", .same_id_ = false},
        scenario{.name_ = "only_server_returns_under_its_id",
                 .servers_ = 1,
                 .interval_ = milliseconds{500}},
        scenario{.name_ = "announcements_expire_late",
                 .interval_ = milliseconds{500},
                 .same_id_ = false,
                 .announcement_lifetime_ = milliseconds{7000},
                 .length_ = milliseconds{16'000}},
        scenario{.name_ = "servers_fall_silent",
                 .interval_ = milliseconds{200},
                 .same_id_ = false,
                 .restart_delay_ = milliseconds{2500},
                 .silent_ = true,
                 .length_ = milliseconds{16'000}},
        scenario{.name_ = "store_is_away",
                 .same_id_ = false,
                 .outage_at_ = milliseconds{100},
                 .outage_ = milliseconds{6000},
                 .length_ = milliseconds{15'000}},
        scenario{.name_ = "daemons_are_replaced",
                 .daemon_restart_interval_ = milliseconds{3500},
                 .length_ = milliseconds{20'000}},
        scenario{.name_ = "all_daemons_are_replaced_between_requests",
                 .interval_ = milliseconds{2000},
                 .daemon_restart_interval_ = milliseconds{9000},
                 .daemons_replaced_together_ = daemon_count,
                 .length_ = milliseconds{26'000}},
        scenario{.name_ = "daemons_do_not_reach_each_other",
                 .interval_ = milliseconds{2000},
                 .peers_connected_ = false,
                 .length_ = milliseconds{16'000}}),
    [](const auto& info) { return std::string{info.param.name_}; });

} // namespace
} // namespace basilstream::testing
