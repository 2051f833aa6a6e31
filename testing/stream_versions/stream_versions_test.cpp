// Runs complete daemons against servers of several software versions whose
// streams break off, and clients that resume them, and checks two promises: a
// stream goes on only at the version that began it, and of the streams that
// clients resume, at least half as large a share goes on as of new streams
// begins.

#include <algorithm>
#include <cstdlib>
#include <future>
#include <iostream>
#include <map>
#include <set>

#include <gtest/gtest.h>

#include "basilstream/daemon/relay_program/relay_program_test_world.hpp"
#include "basilstream/transport/http_pool/http_pool.hpp"
#include "basilstream/transport/http_session/http_session.hpp"

namespace basilstream::testing {
namespace {

using daemon::memory_log;
using daemon::shared_topic;

constexpr auto event_interval = milliseconds{40};
constexpr auto settling_time = seconds{5};
// A daemon must resume streams once it has run for this long.
constexpr auto stable_window = seconds{3};
constexpr auto max_mixed_streams = 2;
constexpr auto min_resumed_share = 0.5;
constexpr auto max_client_tries = 3;
// As the clients of a daemon that is killed.
constexpr auto max_tries_after_kill = 4;
// Clients that outlast a kill of all daemons: 4 s.
constexpr auto max_patient_tries = 40;
constexpr auto patient_retry_delay = milliseconds{100};

struct scenario {
    const char* name_ = "";
    int daemons_ = 2;
    int servers_ = 6;
    // Interval at which the streams of one server break off.
    milliseconds break_interval_{300};
    // Interval at which a server is replaced by one of the next version, none
    // if zero.
    milliseconds release_interval_{0};
    // Whether all servers have one version until the first replacement.
    bool one_version_first_ = false;
    // Interval at which a daemon is replaced by a new process, none if zero.
    milliseconds daemon_restart_interval_{0};
    // Interval at which all daemons are killed at once and started again, never
    // if zero.
    milliseconds kill_all_interval_{0};
    // Whether all servers are replaced by those of the next version just before
    // all daemons are killed.
    bool release_before_kill_ = false;
    // Whether earlier daemons have recorded the first version as the only one.
    bool first_version_recorded_ = false;
    // How many servers of further versions, each of another one, join at a
    // time, and how many daemons are killed at once at another.
    int joining_servers_ = 0;
    milliseconds joined_at_{0};
    int killed_daemons_ = 0;
    milliseconds killed_at_{0};
    // Whether clients that resume a stream name the try that began it.
    bool clients_name_try_ = true;
    int stream_events_ = 12;
    milliseconds length_{10'000};
};

// Announces itself in the store and answers each request with a stream whose
// events name its version. All servers share one thread.
class streaming_server {
public:
    streaming_server(int number, int version, int stream_events,
                     transport::reactor_thread& thread, const clock& time,
                     memory_log& log)
        : number_{number}, stream_events_{stream_events}, thread_{thread},
          clock_{time}, log_{log} {
        start(version);
    }

    // Ends the process and starts one of another version under a new id.
    auto replace(int version) -> void {
        log_.append(shared_topic::backends, std::nullopt, {id_, {}});
        break_streams();
        server_.reset();
        start(version);
    }
    auto break_streams() -> void {
        for (const auto& open : std::exchange(streams_, {})) {
            if (auto* const session = std::exchange(open->session_, nullptr)) {
                session->observe(nullptr);
                session->abort();
            }
        }
    }
    [[nodiscard]] auto version() const -> int { return version_; }

private:
    struct stream final : transport::client_observer {
        auto on_client_left() -> void override { session_ = nullptr; }
        auto on_client_drained() -> void override {}
        transport::http_session* session_ = nullptr;
    };

    auto start(int version) -> void {
        version_ = version;
        auto opened = transport::http_session_server::open(
            thread_, clock_, {.address_ = "127.0.0.1:0"},
            [this](const transport::request_message& request,
                   transport::http_session& session) {
                answer(request, session);
            });
        server_ = std::move(*opened);
        id_ = "s" + std::to_string(number_) + "-" + std::to_string(++starts_);
        log_.append(shared_topic::backends, std::nullopt,
                    {id_, server_->address() + " " +
                              std::to_string(1000 + starts_) + " - v" +
                              std::to_string(version)});
    }

    auto answer(const transport::request_message& request,
                transport::http_session& session) -> void {
        auto headers = transport::header_list{};
        headers.add("X-Id", std::string{request.headers_.find("X-Id")});
        const auto after = request.headers_.find("X-Resume");
        const auto opened = std::make_shared<stream>();
        opened->session_ = &session;
        session.observe(opened.get());
        session.begin_stream(200, headers);
        streams_.insert(opened);
        send_event(opened,
                   after.empty() ? 1 : std::stoi(std::string{after}) + 1);
    }

    auto send_event(const std::shared_ptr<stream>& open, int number) -> void {
        if (open->session_ == nullptr) {
            streams_.erase(open);
            return;
        }
        if (number > stream_events_) {
            open->session_->observe(nullptr);
            std::exchange(open->session_, nullptr)->end_stream();
            streams_.erase(open);
            return;
        }
        open->session_->write_piece("id: " + std::to_string(number) +
                                    "\ndata: v" + std::to_string(version_) +
                                    "\n\n");
        thread_.after(event_interval,
                      [this, open, number] { send_event(open, number + 1); });
    }

    const int number_;
    const int stream_events_;
    transport::reactor_thread& thread_;
    const clock& clock_;
    memory_log& log_;
    std::unique_ptr<transport::http_session_server> server_;
    std::set<std::shared_ptr<stream>> streams_;
    std::string id_;
    int version_ = 0;
    int starts_ = 0;
};

// A stream as its client has received it, over all its tries.
struct client_stream {
    std::string path_;
    // Id of the try that received the first event.
    std::string began_as_;
    std::set<std::string> versions_;
    int last_event_ = 0;
    int tries_ = 0;
    int resume_tries_ = 0;
    bool went_on_ = false;
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
            add_server(options_.one_version_first_ ? 1 : 1 + number % 2);
        }
        if (options_.first_version_recorded_) {
            installation_.log_.append(shared_topic::software_versions,
                                      std::nullopt, {"app\nv1", "d0"});
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

    auto run() -> void {
        auto ended = std::promise<void>{};
        thread_.after(settling_time, [&] { begin(); });
        thread_.after(settling_time + options_.length_,
                      [&] { sending_ = false; });
        thread_.after(settling_time + options_.length_ + seconds{4},
                      [&] { ended.set_value(); });
        thread_.start();
        ended.get_future().wait();
        thread_.stop();
    }

    // Returns the number of streams with events of several versions.
    [[nodiscard]] auto mixed_streams() const -> int {
        return static_cast<int>(std::count_if(
            streams_.begin(), streams_.end(),
            [](const auto& stream) { return stream->versions_.size() > 1; }));
    }
    [[nodiscard]] auto resumptions() const -> int { return resume_tries_; }
    [[nodiscard]] auto resumed_share() const -> double {
        return resume_tries_ == 0 ? 1
                                  : static_cast<double>(resumed_) /
                                        static_cast<double>(resume_tries_);
    }
    // Returns the number of streams that clients tried to take up, and of those
    // that went on then.
    [[nodiscard]] auto taken_up() const -> std::pair<int, int> {
        const auto count = [this](auto has) {
            return static_cast<int>(
                std::count_if(streams_.begin(), streams_.end(), has));
        };
        return {
            count([](const auto& stream) { return stream->resume_tries_ > 0; }),
            count([](const auto& stream) { return stream->went_on_; })};
    }
    [[nodiscard]] auto begun_share() const -> double {
        return static_cast<double>(begun_) / static_cast<double>(new_tries_);
    }
    // Returns the longest time to the refusal of a resumption.
    [[nodiscard]] auto slowest_refusal() const -> duration {
        return slowest_refusal_;
    }

private:
    // One try of a client to receive a stream or the rest of it.
    class client_try final : public transport::answer_observer {
    public:
        client_try(deployment& owner, std::shared_ptr<client_stream> stream,
                   std::string id, bool counts)
            : owner_{owner}, stream_{std::move(stream)}, id_{std::move(id)},
              counts_{counts}, resumes_{stream_->last_event_ > 0},
              sent_at_{owner.clock_.now()} {}

        auto start(const std::string& address, const std::string& bytes,
                   const std::shared_ptr<client_try>& self) -> void {
            self_ = self;
            call_ = owner_.clients_.send(address, bytes, false, 400, *this);
            if (!call_) {
                end(false);
            }
        }
        auto on_answer_head(const transport::answer_head& head)
            -> bool override {
            status_ = head.status_;
            return true;
        }
        auto on_answer_body(std::string_view piece) -> void override {
            if (status_ == 200) {
                text_.append(piece);
                read_events();
            }
        }
        auto on_answer_end() -> void override { end(status_ == 200); }
        auto on_call_failed(transport::call_failure /*failure*/)
            -> void override {
            end(false);
        }

    private:
        auto read_events() -> void {
            for (auto end = text_.find("\n\n"); end != std::string::npos;
                 end = text_.find("\n\n")) {
                const auto event = text_.substr(0, end);
                text_.erase(0, end + 2);
                ++events_;
                stream_->went_on_ = stream_->went_on_ || resumes_;
                if (stream_->began_as_.empty()) {
                    stream_->began_as_ = id_;
                }
                stream_->last_event_ = std::stoi(event.substr(4));
                stream_->versions_.insert(
                    event.substr(event.find("data: ") + 6));
            }
        }
        auto end(bool complete) -> void {
            const auto keep = std::exchange(self_, nullptr);
            // After its last event, a stream that goes on has none left.
            stream_->went_on_ = stream_->went_on_ || (resumes_ && complete);
            owner_.on_try_ended(stream_, {complete, events_ > 0, counts_,
                                          resumes_, status_, sent_at_});
        }

        deployment& owner_;
        std::shared_ptr<client_stream> stream_;
        const std::string id_;
        const bool counts_;
        const bool resumes_;
        const time_point sent_at_;
        int status_ = 0;
        int events_ = 0;
        std::string text_;
        std::shared_ptr<transport::http_call_connection> call_;
        // Keeps the try alive until its end.
        std::shared_ptr<client_try> self_;
    };
    struct try_outcome {
        bool complete_ = false;
        bool received_events_ = false;
        bool counts_ = false;
        bool resumes_ = false;
        int status_ = 0;
        time_point sent_at_{};
    };

    auto set_config() -> void {
        auto config = std::make_shared<coordination::relay_config>();
        config->version_ = 1;
        for (const auto attempts : {1, 3}) {
            auto route = coordination::relay_route{};
            route.name_ = "attempts" + std::to_string(attempts);
            route.host_ = "x";
            route.path_prefix_ = "/" + std::to_string(attempts) + "/";
            route.kind_ = coordination::request_kind::streaming;
            route.resumable_ = true;
            route.attempts_ = attempts;
            route.objective_ = milliseconds{400};
            route.timeout_ = seconds{8};
            route.targets_ = {{"app", 1}};
            config->routes_.push_back(route);
        }
        config->services_ = {{.name_ = "app", .connection_limit_ = 400}};
        installation_.config_ = config;
        installation_.log_.append(shared_topic::configuration, std::nullopt,
                                  {"routes", "1"});
    }

    auto add_server(int version) -> void {
        servers_.push_back(std::make_unique<streaming_server>(
            static_cast<int>(servers_.size()), version, options_.stream_events_,
            thread_, clock_, installation_.log_));
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
        settings.logging_ = {std::getenv("STREAM_VERSIONS_LOG") == nullptr
                                 ? transport::log_level::off
                                 : transport::log_level::info};
        auto started =
            daemon::relay_program::start(settings, installation_, [] {});
        ASSERT_TRUE(started);
        daemons_[index] = std::move(*started);
        started_at_[index] = clock_.now();
    }

    auto begin() -> void {
        constexpr auto request_interval = milliseconds{25};
        thread_.every(request_interval, [this] {
            if (sending_) {
                auto stream = std::make_shared<client_stream>();
                // Each has a path of its own, as equal requests on servers that
                // end would be quarantined.
                stream->path_ = (streams_.size() % 2 == 0 ? "/1/" : "/3/") +
                                std::to_string(streams_.size());
                streams_.push_back(stream);
                send(stream);
            }
        });
        thread_.every(options_.break_interval_, [this] {
            servers_[random_.below(servers_.size())]->break_streams();
        });
        if (options_.release_interval_.count() > 0) {
            thread_.every(options_.release_interval_, [this] {
                auto& next = *servers_[next_release_++ % servers_.size()];
                next.replace(next.version() + 1);
            });
        }
        if (options_.kill_all_interval_.count() > 0) {
            thread_.every(options_.kill_all_interval_, [this] { kill_all(); });
        }
        if (options_.joining_servers_ > 0) {
            thread_.after(options_.joined_at_, [this] {
                for (auto number = 0; number < options_.joining_servers_;
                     ++number) {
                    add_server(2 + number);
                }
            });
        }
        if (options_.killed_daemons_ > 0) {
            thread_.after(options_.killed_at_,
                          [this] { kill(options_.killed_daemons_); });
        }
        if (options_.daemon_restart_interval_.count() > 0) {
            thread_.every(options_.daemon_restart_interval_, [this] {
                next_restart_ = (next_restart_ + 1) % options_.daemons_;
                daemons_[next_restart_].reset();
                start_daemon(next_restart_);
            });
        }
    }

    auto kill_all() -> void {
        for (const auto& server : servers_) {
            if (options_.release_before_kill_) {
                server->replace(server->version() + 1);
            } else {
                server->break_streams();
            }
        }
        kill(options_.daemons_);
    }

    // Kills the first `count` daemons at once and starts them again.
    auto kill(int count) -> void {
        for (auto index = 0; index < count; ++index) {
            daemons_[index].reset();
        }
        for (auto index = 0; index < count; ++index) {
            start_daemon(index);
        }
    }

    [[nodiscard]] auto max_tries() const -> int {
        return options_.kill_all_interval_.count() > 0 ? max_patient_tries
               : options_.killed_daemons_ > 0          ? max_tries_after_kill
                                                       : max_client_tries;
    }

    auto send(const std::shared_ptr<client_stream>& stream) -> void {
        const auto index = static_cast<int>(random_.below(daemons_.size()));
        const auto id = "q" + std::to_string(++requests_);
        auto headers = transport::header_list{};
        headers.add("Host", "x");
        headers.add("X-Id", id);
        if (stream->last_event_ > 0) {
            headers.add("X-Last", std::to_string(stream->last_event_));
            ++stream->resume_tries_;
            if (options_.clients_name_try_) {
                headers.add("X-Resumes", stream->began_as_);
            }
        }
        ++stream->tries_;
        const auto settled = clock_.now() > started_at_[index] + stable_window;
        const auto attempt = std::make_shared<client_try>(
            *this, stream, id, settled && version_serves(*stream));
        attempt->start(
            daemons_[index]->caller_address(),
            transport::write_request("POST", stream->path_, headers, "body"),
            attempt);
    }

    // Returns whether two servers of the version that began the stream run.
    [[nodiscard]] auto version_serves(const client_stream& stream) const
        -> bool {
        return stream.versions_.empty() ||
               std::count_if(servers_.begin(), servers_.end(),
                             [&](const auto& server) {
                                 return stream.versions_.contains(
                                     "v" + std::to_string(server->version()));
                             }) >= 2;
    }

    auto on_try_ended(const std::shared_ptr<client_stream>& stream,
                      const try_outcome& outcome) -> void {
        if (outcome.counts_) {
            (outcome.resumes_ ? resume_tries_ : new_tries_) += 1;
            (outcome.resumes_ ? resumed_ : begun_) +=
                outcome.received_events_ || outcome.complete_ ? 1 : 0;
        }
        if (outcome.resumes_ && outcome.status_ == 503) {
            slowest_refusal_ =
                std::max(slowest_refusal_, clock_.now() - outcome.sent_at_);
        }
        if (!outcome.complete_ && stream->last_event_ > 0 &&
            stream->tries_ < max_tries()) {
            const auto kills = max_tries() != max_client_tries;
            thread_.after(kills ? patient_retry_delay : milliseconds{20},
                          [this, stream] { send(stream); });
        }
    }

    const scenario options_;
    steady_clock clock_;
    seeded_random random_{7};
    transport::reactor_thread thread_;
    transport::http_pool clients_;
    daemon::text_installation installation_;
    std::vector<std::unique_ptr<streaming_server>> servers_;
    std::vector<std::unique_ptr<daemon::relay_program>> daemons_;
    std::map<int, time_point> started_at_;
    std::vector<std::shared_ptr<client_stream>> streams_;
    duration slowest_refusal_{};
    std::size_t next_release_ = 0;
    bool sending_ = true;
    int requests_ = 0;
    int next_restart_ = 0;
    int new_tries_ = 0;
    int begun_ = 0;
    int resume_tries_ = 0;
    int resumed_ = 0;
};

class stream_versions : public ::testing::TestWithParam<scenario> {};

// A stream that broke off went on at a server of another software version.
TEST_P(stream_versions, stream_goes_on_at_another_version) {
    auto world = deployment{GetParam()};
    world.run();
    std::cout << GetParam().name_ << ": " << world.mixed_streams()
              << " streams of several versions, " << world.resumptions()
              << " resumed by clients, " << world.resumed_share()
              << " of them went on, " << world.begun_share()
              << " of new streams began\n";
    EXPECT_LE(world.mixed_streams(), max_mixed_streams);
    EXPECT_GE(world.resumptions(), 12);
    EXPECT_GE(world.resumed_share(), min_resumed_share * world.begun_share());
    EXPECT_LT(world.slowest_refusal(), seconds{1});
}

INSTANTIATE_TEST_SUITE_P(
    scenarios, stream_versions,
    ::testing::Values(scenario{.name_ = "two_versions_2_daemons"},
                      scenario{.name_ = "two_versions_7_daemons",
                               .daemons_ = 7},
                      scenario{.name_ = "release_from_one_version",
                               .daemons_ = 7,
                               .release_interval_ = milliseconds{900},
                               .one_version_first_ = true},
                      scenario{.name_ = "daemons_are_replaced",
                               .daemons_ = 7,
                               .daemon_restart_interval_ = milliseconds{1500},
                               .length_ = milliseconds{14'000}},
                      scenario{.name_ = "daemons_are_replaced_during_a_release",
                               .daemons_ = 7,
                               .release_interval_ = milliseconds{1100},
                               .daemon_restart_interval_ = milliseconds{2000},
                               .length_ = milliseconds{14'000}}),
    [](const auto& info) { return std::string{info.param.name_}; });

class killed_daemons : public ::testing::TestWithParam<scenario> {};

// Daemons that started after the servers of a version had left took the new
// version for the only one, and joined streams from both.
TEST_P(killed_daemons, stream_goes_on_at_the_version_of_the_daemons_restart) {
    auto world = deployment{GetParam()};
    world.run();
    const auto [tried, went_on] = world.taken_up();
    std::cout << GetParam().name_ << ": " << world.mixed_streams()
              << " streams of several versions; of " << tried
              << " that clients took up, " << went_on << " went on; "
              << world.begun_share() << " of new streams began\n";
    EXPECT_EQ(world.mixed_streams(), 0);
    EXPECT_GE(tried, 20);
    EXPECT_GE(world.begun_share(), 0.9);
    if (!GetParam().release_before_kill_) {
        EXPECT_GE(went_on, 0.9 * tried);
    }
}

constexpr auto kill_interval = milliseconds{4000};

INSTANTIATE_TEST_SUITE_P(
    scenarios, killed_daemons,
    ::testing::Values(scenario{.name_ = "release_2_daemons",
                               .break_interval_ = seconds{60},
                               .one_version_first_ = true,
                               .kill_all_interval_ = kill_interval,
                               .release_before_kill_ = true,
                               .clients_name_try_ = false},
                      scenario{.name_ = "release_7_daemons",
                               .daemons_ = 7,
                               .break_interval_ = seconds{60},
                               .one_version_first_ = true,
                               .kill_all_interval_ = kill_interval,
                               .release_before_kill_ = true,
                               .clients_name_try_ = false},
                      scenario{.name_ = "release_clients_name_the_try",
                               .daemons_ = 7,
                               .break_interval_ = seconds{60},
                               .one_version_first_ = true,
                               .kill_all_interval_ = kill_interval,
                               .release_before_kill_ = true},
                      scenario{.name_ = "one_version",
                               .daemons_ = 7,
                               .break_interval_ = seconds{60},
                               .one_version_first_ = true,
                               .kill_all_interval_ = kill_interval,
                               .clients_name_try_ = false},
                      scenario{.name_ = "one_version_clients_name_the_try",
                               .daemons_ = 7,
                               .break_interval_ = seconds{60},
                               .one_version_first_ = true,
                               .kill_all_interval_ = kill_interval}),
    [](const auto& info) { return std::string{info.param.name_}; });

class killed_relays : public ::testing::TestWithParam<scenario> {};

// Streams that had begun while their service had one version were not resumed
// if the daemon that relayed them ended once a second version had appeared.
TEST_P(killed_relays, streams_of_the_only_version_are_lost_with_their_daemon) {
    auto world = deployment{GetParam()};
    world.run();
    const auto [tried, went_on] = world.taken_up();
    std::cout << GetParam().name_ << ": " << world.mixed_streams()
              << " streams of several versions; of " << tried
              << " that clients took up, " << went_on << " went on; "
              << world.begun_share() << " of new streams began\n";
    EXPECT_LE(world.mixed_streams(), max_mixed_streams);
    EXPECT_GE(tried, 12);
    EXPECT_GE(world.begun_share(), 0.9);
    EXPECT_GE(went_on, min_resumed_share * world.begun_share() * tried);
}

constexpr auto steady_scenario = scenario{.break_interval_ = seconds{60},
                                          .one_version_first_ = true,
                                          .first_version_recorded_ = true,
                                          .joining_servers_ = 1,
                                          .joined_at_ = seconds{3},
                                          .killed_daemons_ = 1,
                                          .killed_at_ = seconds{5},
                                          .stream_events_ = 100,
                                          .length_ = milliseconds{6'000}};

constexpr auto with_daemons(const char* name, int daemons, int killed,
                            milliseconds killed_at, int joining = 1)
    -> scenario {
    auto made = steady_scenario;
    made.name_ = name;
    made.daemons_ = daemons;
    made.killed_daemons_ = killed;
    made.killed_at_ = killed_at;
    made.joining_servers_ = joining;
    return made;
}

INSTANTIATE_TEST_SUITE_P(
    scenarios, killed_relays,
    ::testing::Values(
        with_daemons("one_of_three", 3, 1, milliseconds{5000}),
        with_daemons("as_the_second_version_appears", 3, 1, milliseconds{3150}),
        with_daemons("two_of_five", 5, 2, milliseconds{4000}),
        with_daemons("two_of_three", 3, 2, milliseconds{4000}),
        with_daemons("three_versions", 3, 1, milliseconds{5000}, 2)),
    [](const auto& info) { return std::string{info.param.name_}; });

} // namespace
} // namespace basilstream::testing
