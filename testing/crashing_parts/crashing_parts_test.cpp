// Runs complete daemons against servers that crash when they begin to answer a
// request with a certain part in its prompt, and checks what callers and
// operators are promised: from three seconds after the fifth crash, at most
// three more requests with that part reach servers, for as long as the run
// lasts; requests without it are served as before, also those that share all
// other parts; and what is refused is refused at once and may come back.

#include <algorithm>
#include <array>
#include <iostream>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "basilstream/base/random/random.hpp"
#include "testing/raw_deployment/raw_deployment.hpp"

namespace basilstream::testing {
namespace {

constexpr auto request_id_field = "Basilstream-Request-Id";
constexpr auto parts_field = "Basilstream-Prompt-Prefix";
constexpr auto daemon_field = "X-Daemon";

constexpr auto stable_window = seconds{3};
constexpr auto crashes_before_counting = std::size_t{5};
constexpr auto max_late_requests = 3;
// Sound requests are served at the first attempt as often as before, but for
// this share.
constexpr auto min_sound_ratio = 0.9;
constexpr auto time_to_refuse = milliseconds{300};
// Requests are sent for this long before the first crash.
constexpr auto calm_time = seconds{2};
constexpr auto time_to_end = seconds{3};

constexpr auto shared_first_part = "f1";
constexpr auto guilty_parts = std::array<const char*, 2>{"bad1", "bad2"};

// How the connections of a crashing server end.
enum class ending {
    reset,
    // In order, within an event.
    inside_event,
    // In order, after the head of the answer.
    before_first_event,
    // In order, after whole events without a length.
    after_whole_events,
};

enum class position { first, middle, last_shared };

struct scenario {
    const char* name_ = "";
    int daemons_ = 2;
    int servers_ = 8;
    milliseconds request_interval_{10};
    milliseconds crash_interval_{120};
    position position_ = position::middle;
    // Parts of a prompt, the request's own one included.
    int parts_ = 4;
    // Whether sound requests have all the parts of a crashing one but the
    // guilty part and their own.
    bool shares_all_but_one_ = false;
    ending ending_ = ending::reset;
    bool new_ids_ = true;
    milliseconds restart_delay_{2000};
    int guilty_parts_ = 1;
    // Time without crashing requests, from the given moment on.
    duration quiet_from_{};
    duration quiet_time_{};
    // Servers that are killed for another reason, one each second.
    int killed_servers_ = 0;
    // Prompts of sound requests have parts that no other request has.
    bool unique_parts_ = false;
    // Daemons are replaced one after the other at this interval.
    milliseconds replace_interval_{0};
    // The store refuses all calls from the first crash on.
    duration store_outage_{};
    duration length_ = seconds{13};
};

struct arrival {
    time_point at_{};
    int daemon_ = 0;
    std::size_t guilty_part_ = 0;
};

struct server_state {
    raw_server* server_ = nullptr;
    int starts_ = 1;
};

class crashing_parts_world {
public:
    explicit crashing_parts_world(const scenario& options)
        : options_{options},
          deployment_{{.daemons_ = options.daemons_,
                       .routes_ = {{"/draft/", "streaming"},
                                   {"/summary/", "streaming", true},
                                   {"/lookup/", "idempotent"}}}},
          servers_(options.servers_), started_at_(options.daemons_) {
        for (auto number = 0; number < options_.servers_; ++number) {
            servers_[number].server_ = &deployment_.add_server(
                [this, number](const auto& request, const auto& connection) {
                    receive(number, request, connection);
                });
        }
    }

    auto run() -> void {
        deployment_.play(options_.length_ + time_to_end, [this] {
            begun_at_ = deployment_.time().now();
            auto& thread = deployment_.thread();
            thread.every(options_.request_interval_, [this] { send_sound(); });
            thread.after(calm_time, [this] { begin_trouble(); });
        });
    }

    // Returns the number of requests with a guilty part that reached servers
    // later than the promise allows, from daemons that are bound by it.
    [[nodiscard]] auto late_requests(std::size_t part) const -> int {
        const auto& crashes = crashes_[part];
        if (crashes.size() < crashes_before_counting) {
            return 0;
        }
        const auto from = crashes[crashes_before_counting - 1] + stable_window;
        return static_cast<int>(std::count_if(
            arrivals_.begin(), arrivals_.end(), [&](const arrival& entry) {
                const auto in_touch =
                    entry.at_ > started_at_[entry.daemon_] + stable_window &&
                    (options_.store_outage_ == duration{0} ||
                     entry.at_ > outage_end() + stable_window);
                return entry.guilty_part_ == part && in_touch &&
                       entry.at_ > from;
            }));
    }
    [[nodiscard]] auto crashes(std::size_t part) const -> std::size_t {
        return crashes_[part].size();
    }
    // Returns the share of the sound requests sent from `from` on that were
    // served.
    [[nodiscard]] auto sound_served(time_point from, time_point until) const
        -> double {
        auto sent = 0;
        auto served = 0;
        for (const auto& [at, ok] : sound_) {
            const auto counts = at >= from && at < until;
            sent += counts ? 1 : 0;
            served += counts && ok ? 1 : 0;
        }
        return sent == 0 ? 1.0 : static_cast<double>(served) / sent;
    }
    [[nodiscard]] auto served_before() const -> double {
        return sound_served(begun_at_, begun_at_ + calm_time);
    }
    // The same from the moment on at which the crashes must have ended.
    [[nodiscard]] auto served_after() const -> double {
        auto from = begun_at_ + calm_time;
        for (const auto& times : crashes_) {
            if (!times.empty()) {
                const auto last =
                    std::min(times.size(), crashes_before_counting);
                from = std::max(from, times[last - 1] + 2 * stable_window);
            }
        }
        if (options_.killed_servers_ > 0) {
            from = begun_at_ + calm_time;
        }
        return sound_served(from, begun_at_ + options_.length_);
    }

    // Refusals of crashing requests that took long, named no time or promise
    // something else than that the request has not run.
    int bad_refusals_ = 0;
    int refused_ = 0;

private:
    [[nodiscard]] auto outage_end() const -> time_point {
        return begun_at_ + calm_time + options_.store_outage_;
    }

    auto begin_trouble() -> void {
        auto& thread = deployment_.thread();
        if (options_.guilty_parts_ > 0) {
            thread.every(options_.crash_interval_, [this] { send_guilty(); });
        }
        for (auto number = 0; number < options_.killed_servers_; ++number) {
            thread.after(seconds{number},
                         [this, number] { crash(number, std::nullopt); });
        }
        if (options_.replace_interval_.count() > 0) {
            thread.every(options_.replace_interval_, [this] {
                const auto index = next_replaced_++ % options_.daemons_;
                started_at_[index] = deployment_.time().now();
                deployment_.restart_daemon(index);
            });
        }
        if (options_.store_outage_ > duration{0}) {
            deployment_.store().set_fault(store_fault::refuse);
            thread.after(
                std::chrono::duration_cast<milliseconds>(
                    options_.store_outage_),
                [this] { deployment_.store().set_fault(store_fault::none); });
        }
    }

    // Ends a server's process, which is back some time later.
    auto crash(int number, std::optional<std::size_t> part) -> void {
        auto& state = servers_[number];
        if (!state.server_->running()) {
            return;
        }
        if (part) {
            crashes_[*part].push_back(deployment_.time().now());
        }
        state.server_->crash(options_.ending_ == ending::reset);
        const auto start = ++state.starts_;
        // The announcement expires, unless the id is taken up again.
        const auto id = state.server_->id();
        auto& thread = deployment_.thread();
        if (options_.new_ids_) {
            thread.after(milliseconds{3600}, [this, id] {
                deployment_.store().put("keyed.servers", id, std::nullopt);
            });
        }
        thread.after(options_.restart_delay_, [this, number, start] {
            auto& back = servers_[number];
            const auto new_id =
                "s" + std::to_string(number) +
                (options_.new_ids_ ? "-" + std::to_string(start) : "");
            back.server_->reopen(new_id);
            back.server_->announce(1000 + start);
        });
    }

    auto receive(int number, const transport::request_message& request,
                 const std::shared_ptr<raw_connection>& connection) -> void {
        const auto parts = std::string{request.headers_.find(parts_field)};
        const auto start = servers_[number].starts_;
        auto guilty = std::optional<std::size_t>{};
        for (auto index = std::size_t{0}; index < guilty_parts.size();
             ++index) {
            const auto at =
                parts.find(std::string{guilty_parts.at(index)} + ":");
            // The last part is never to blame.
            if (at != std::string::npos &&
                parts.find(',', at) != std::string::npos) {
                guilty = index;
            }
        }
        if (guilty) {
            const auto daemon =
                std::string{request.headers_.find(daemon_field)};
            arrivals_.push_back(
                {deployment_.time().now(), std::stoi(daemon), *guilty});
        }
        const auto id = std::string{request.headers_.find(request_id_field)};
        const auto streamed = !request.target_.starts_with("/lookup/");
        const auto prefill = milliseconds{20 + random_.below(60)};
        deployment_.thread().after(prefill, [this, number, start, guilty,
                                             connection, id, streamed] {
            if (servers_[number].starts_ != start) {
                return;
            }
            if (guilty) {
                begin_crash(number, start, *guilty, connection, id, streamed);
            } else if (streamed) {
                stream(connection, id);
            } else {
                connection->write("HTTP/1.1 200 OK\r\n" +
                                  std::string{request_id_field} + ": " + id +
                                  "\r\nContent-Length: 4\r\n\r\ndone");
            }
        });
    }

    auto begin_crash(int number, int start, std::size_t guilty,
                     const std::shared_ptr<raw_connection>& connection,
                     const std::string& id, bool streamed) -> void {
        const auto head = "HTTP/1.1 200 OK\r\n" +
                          std::string{request_id_field} + ": " + id +
                          "\r\nConnection: close\r\n\r\n";
        if (streamed) {
            static constexpr auto bodies = std::array<const char*, 4>{
                "id: 1\ndata: a\n\nid: 2\nda", "id: 1\ndata: a\n\nid: 2\nda",
                "", "id: 1\ndata: a\n\n"};
            connection->write(
                head + bodies.at(static_cast<std::size_t>(options_.ending_)));
        }
        deployment_.thread().after(milliseconds{20 + random_.below(60)},
                                   [this, number, start, guilty] {
                                       if (servers_[number].starts_ == start) {
                                           crash(number, guilty);
                                       }
                                   });
    }

    auto stream(const std::shared_ptr<raw_connection>& connection,
                const std::string& id) -> void {
        constexpr auto event_interval = milliseconds{100};
        constexpr auto events = 4;
        connection->write("HTTP/1.1 200 OK\r\n" +
                          std::string{request_id_field} + ": " + id +
                          "\r\nTransfer-Encoding: chunked\r\n\r\n"
                          "f\r\nid: 1\ndata: a\n\n\r\n");
        for (auto event = 2; event <= events; ++event) {
            deployment_.thread().after(
                event_interval * (event - 1), [connection, event] {
                    connection->write("f\r\nid: " + std::to_string(event) +
                                      "\ndata: a\n\n\r\n" +
                                      (event == events ? "0\r\n\r\n" : ""));
                });
        }
    }

    // Returns the parts of a prompt. A crashing request has its guilty part at
    // the place that the scenario names.
    auto make_parts(std::optional<std::size_t> guilty) -> std::string {
        auto ids = std::vector<std::string>{};
        const auto shared = options_.parts_ - 1;
        for (auto index = 0; index < shared; ++index) {
            if (index == 0) {
                ids.emplace_back(shared_first_part);
            } else if (options_.shares_all_but_one_) {
                ids.push_back("a" + std::to_string(index));
            } else if (options_.unique_parts_) {
                ids.push_back("e" + std::to_string(++own_parts_));
            } else {
                // Callers, of whom some send few requests.
                const auto caller = random_.below(12) * random_.below(12);
                ids.push_back("c" + std::to_string(index) + "0" +
                              std::to_string(caller));
            }
        }
        // A sound request may have a guilty part's id for its own, last part.
        auto own = "d" + std::to_string(++own_parts_);
        if (guilty) {
            const auto place = options_.position_ == position::first ? 0
                               : options_.position_ == position::middle
                                   ? shared / 2
                                   : shared - 1;
            ids[place] = guilty_parts.at(*guilty);
        } else if (own_parts_ % 20 == 0) {
            own = guilty_parts[0];
        }
        ids.push_back(own);
        auto text = std::string{};
        for (const auto& id : ids) {
            text += (text.empty() ? "" : ",") + id + ":" +
                    std::to_string(10 + random_.below(90));
        }
        return text;
    }

    [[nodiscard]] auto quiet() const -> bool {
        const auto since = deployment_.time().now() - begun_at_;
        return options_.quiet_time_ > duration{0} &&
               since > options_.quiet_from_ &&
               since < options_.quiet_from_ + options_.quiet_time_;
    }

    [[nodiscard]] auto over() const -> bool {
        return deployment_.time().now() > begun_at_ + options_.length_;
    }

    auto send_guilty() -> void {
        if (over() || quiet()) {
            return;
        }
        const auto part =
            static_cast<std::size_t>(sent_guilty_++ % options_.guilty_parts_);
        send(part, [this](const raw_answer& reply) {
            if (reply.status_ != 503) {
                return;
            }
            ++refused_;
            bad_refusals_ += reply.took_ > time_to_refuse ||
                                     !reply.headers_.contains("Retry-After")
                                 ? 1
                                 : 0;
        });
    }

    auto send_sound() -> void {
        if (over()) {
            return;
        }
        const auto index = sound_.size();
        sound_.emplace_back(deployment_.time().now(), false);
        send(std::nullopt, [this, index](const raw_answer& reply) {
            sound_[index].second = reply.status_ == 200 && reply.complete_;
        });
    }

    auto send(std::optional<std::size_t> guilty,
              raw_deployment::answer_handler done) -> void {
        static constexpr auto prefixes =
            std::array<const char*, 3>{"/draft/", "/summary/", "/lookup/"};
        const auto number = ++sent_;
        const auto daemon = static_cast<int>(random_.below(options_.daemons_));
        auto headers = transport::header_list{};
        headers.add("Host", "x");
        headers.add(request_id_field, "q" + std::to_string(number));
        headers.add("Basilstream-Deadline-Milliseconds", "6000");
        headers.add(parts_field, make_parts(guilty));
        headers.add(daemon_field, std::to_string(daemon));
        deployment_.send(daemon,
                         transport::write_request(
                             "POST",
                             prefixes.at(random_.below(prefixes.size())) +
                                 std::to_string(number),
                             headers, "body " + std::to_string(number)),
                         std::move(done));
    }

    const scenario options_;
    seeded_random random_{11};
    raw_deployment deployment_;
    std::vector<server_state> servers_;
    std::vector<time_point> started_at_;
    std::array<std::vector<time_point>, guilty_parts.size()> crashes_;
    std::vector<arrival> arrivals_;
    // When each sound request was sent, and whether it was served.
    std::vector<std::pair<time_point, bool>> sound_;
    time_point begun_at_{};
    int sent_ = 0;
    int sent_guilty_ = 0;
    int own_parts_ = 0;
    int next_replaced_ = 0;
};

class crashing_parts : public ::testing::TestWithParam<scenario> {};

// Requests that shared a prompt part and nothing else with those under which
// servers had crashed were sent on.
TEST_P(crashing_parts, part_is_sent_on_after_its_fifth_crash) {
    const auto& options = GetParam();
    auto world = crashing_parts_world{options};
    world.run();
    const auto before = world.served_before();
    const auto after = world.served_after();
    for (auto part = 0; part < options.guilty_parts_; ++part) {
        std::cout << options.name_ << ": part " << part << ": "
                  << world.crashes(part) << " servers crashed, "
                  << world.late_requests(part) << " late requests\n";
        EXPECT_LE(world.late_requests(part), max_late_requests);
    }
    std::cout << options.name_ << ": sound requests served: " << before
              << " before, " << after << " after; " << world.refused_
              << " refused, " << world.bad_refusals_ << " of them badly\n";
    EXPECT_GE(after, min_sound_ratio * before);
    EXPECT_EQ(world.bad_refusals_, 0);
}

INSTANTIATE_TEST_SUITE_P(
    scenarios, crashing_parts,
    ::testing::Values(scenario{.name_ = "middle_part_2_daemons"},
                      scenario{.name_ = "middle_part_7_daemons", .daemons_ = 7},
                      scenario{.name_ = "middle_part_80_daemons",
                               .daemons_ = 80,
                               .servers_ = 24,
                               .request_interval_ = milliseconds{4}},
                      scenario{.name_ = "first_part_7_daemons",
                               .daemons_ = 7,
                               .position_ = position::first},
                      scenario{.name_ = "last_shared_of_200_parts_7_daemons",
                               .daemons_ = 7,
                               .position_ = position::last_shared,
                               .parts_ = 200,
                               .shares_all_but_one_ = true},
                      scenario{.name_ = "ends_inside_events_same_ids_7_daemons",
                               .daemons_ = 7,
                               .ending_ = ending::inside_event,
                               .new_ids_ = false},
                      scenario{.name_ = "ends_before_first_event_7_daemons",
                               .daemons_ = 7,
                               .ending_ = ending::before_first_event},
                      scenario{.name_ = "ends_after_whole_events_7_daemons",
                               .daemons_ = 7,
                               .ending_ = ending::after_whole_events},
                      scenario{.name_ = "two_parts_7_daemons",
                               .daemons_ = 7,
                               .servers_ = 12,
                               .guilty_parts_ = 2},
                      scenario{.name_ = "comes_back_after_a_pause_7_daemons",
                               .daemons_ = 7,
                               .quiet_from_ = seconds{5},
                               .quiet_time_ = seconds{6},
                               .length_ = seconds{16}},
                      scenario{.name_ = "daemons_are_replaced_7_daemons",
                               .daemons_ = 7,
                               .replace_interval_ = milliseconds{1500},
                               .length_ = seconds{16}},
                      scenario{.name_ = "store_is_away_7_daemons",
                               .daemons_ = 7,
                               .store_outage_ = seconds{5},
                               .length_ = seconds{17}},
                      scenario{.name_ = "servers_are_killed_7_daemons",
                               .daemons_ = 7,
                               .guilty_parts_ = 0,
                               .killed_servers_ = 6},
                      scenario{.name_ = "unique_parts_7_daemons",
                               .daemons_ = 7,
                               .unique_parts_ = true}),
    [](const auto& info) { return std::string{info.param.name_}; });

} // namespace
} // namespace basilstream::testing
