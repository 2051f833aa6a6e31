// Runs complete daemons of which some lose their links to all servers, while
// clients, the store and the other daemons reach them, and checks what their
// callers are promised: from three seconds after the cut, they are served about
// as well as those of the other daemons; what may run once runs once; what was
// refused has not run; and afterwards the daemons use their own links again. If
// no daemon reaches a server, requests are refused at once.

#include <algorithm>
#include <array>
#include <iostream>
#include <map>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "basilstream/base/random/random.hpp"
#include "testing/raw_deployment/raw_deployment.hpp"

namespace basilstream::testing {
namespace {

constexpr auto request_id_field = "Basilstream-Request-Id";
constexpr auto deadline_field = "Basilstream-Deadline-Milliseconds";

constexpr auto stable_window = seconds{3};
// Share of the requests at cut daemons that is served, against that at the
// others.
constexpr auto min_served_ratio = 0.9;
constexpr auto time_to_refuse = milliseconds{400};
constexpr auto time_to_return = seconds{2};
constexpr auto calm_time = seconds{2};
constexpr auto time_to_end = seconds{5};

struct scenario {
    const char* name_ = "";
    int daemons_ = 7;
    int cut_daemons_ = 1;
    link_fault fault_ = link_fault::hang;
    std::vector<duration> cuts_at_ = {seconds{2}};
    duration cut_length_ = seconds{8};
    int servers_ = 6;
    milliseconds request_interval_{10};
    // Servers fall silent in turn for this long, and then go on.
    duration silence_{};
    duration length_ = seconds{13};
    // In milliseconds.
    int deadline_ = 4000;
    // Events of each stream, 50 ms apart.
    int stream_events_ = 4;
};

auto event_chunk(int number) -> std::string {
    const auto event = "id: " + std::to_string(number) + "\ndata: a\n\n";
    auto size = std::ostringstream{};
    size << std::hex << event.size();
    return size.str() + "\r\n" + event + "\r\n";
}

class partitioned_daemons_world {
public:
    explicit partitioned_daemons_world(const scenario& options)
        : options_{options},
          deployment_{{.daemons_ = options.daemons_,
                       .routes_ = {{"/safe/", "idempotent"},
                                   {"/once/", "non_idempotent"},
                                   {"/stream/", "streaming", true}},
                       .daemons_with_faults_ = options.cut_daemons_}},
          silent_until_(options.servers_) {
        for (auto number = 0; number < options_.servers_; ++number) {
            deployment_.add_server(
                [this, number](const auto& request, const auto& connection) {
                    receive(number, request, connection);
                });
        }
    }

    auto run() -> void {
        deployment_.play(options_.length_ + time_to_end, [this] {
            begun_at_ = deployment_.time().now();
            auto& thread = deployment_.thread();
            thread.every(options_.request_interval_, [this] { send(); });
            for (const auto at : options_.cuts_at_) {
                schedule_cut(at);
            }
            if (options_.silence_ > duration{0}) {
                thread.every(milliseconds{1500}, [this] { silence_next(); });
            }
        });
    }

    // Returns the share of the requests that were served, of those sent to cut
    // daemons, or the others, from `stable_window` after a cut until its end.
    [[nodiscard]] auto served(bool at_cut_daemons) const -> double {
        auto sent = 0;
        auto served = 0;
        for (const auto& entry : requests_) {
            const auto is_cut = entry.daemon_ < options_.cut_daemons_;
            if (is_cut == at_cut_daemons && in_promise(entry.sent_at_)) {
                ++sent;
                served += entry.status_ == 200 && entry.complete_ ? 1 : 0;
            }
        }
        return sent == 0 ? 1.0 : static_cast<double>(served) / sent;
    }
    // Returns the share of all requests that were served.
    [[nodiscard]] auto served_in_all() const -> double {
        return static_cast<double>(std::count_if(
                   requests_.begin(), requests_.end(),
                   [](const auto& entry) {
                       return entry.status_ == 200 && entry.complete_;
                   })) /
               static_cast<double>(requests_.size());
    }
    // Returns how many requests were refused too late, of those that all
    // daemons could only refuse.
    [[nodiscard]] auto late_refusals() const -> int {
        return static_cast<int>(std::count_if(
            requests_.begin(), requests_.end(), [&](const auto& entry) {
                return in_promise(entry.sent_at_) &&
                       (entry.status_ != 503 || entry.took_ > time_to_refuse);
            }));
    }
    // Returns how many requests broke a promise on how often they run: more
    // than once, more often than their route allows, or although refused.
    [[nodiscard]] auto broken_promises() const -> int {
        auto broken = 0;
        for (const auto& entry : requests_) {
            const auto found = runs_.find(entry.id_);
            const auto runs = found == runs_.end() ? 0 : found->second;
            const auto allowed = entry.once_ ? 1 : 3;
            broken +=
                runs > allowed || (entry.status_ == 503 && runs > 0) ? 1 : 0;
        }
        return broken;
    }
    // Returns whether each daemon has made connections again after its links
    // were back.
    [[nodiscard]] auto used_own_links_again() const -> bool {
        return std::all_of(returns_.begin(), returns_.end(),
                           [](const auto& entry) { return entry; });
    }

    int long_deadlines_ = 0;
    // The first request with such a deadline.
    std::string first_long_deadline_;

private:
    struct sent_request {
        std::string id_;
        time_point sent_at_{};
        int daemon_ = 0;
        bool once_ = false;
        int status_ = 0;
        bool complete_ = false;
        duration took_{};
    };

    [[nodiscard]] auto in_promise(time_point at) const -> bool {
        return std::any_of(options_.cuts_at_.begin(), options_.cuts_at_.end(),
                           [&](duration cut) {
                               const auto from = begun_at_ + cut;
                               return at >= from + stable_window &&
                                      at < from + options_.cut_length_;
                           });
    }

    auto schedule_cut(duration at) -> void {
        const auto in_ms = [](duration value) {
            return std::chrono::duration_cast<milliseconds>(value);
        };
        auto& thread = deployment_.thread();
        thread.after(in_ms(at), [this] {
            for (auto daemon = 0; daemon < options_.cut_daemons_; ++daemon) {
                deployment_.cut_links(daemon, options_.fault_);
            }
        });
        thread.after(in_ms(at + options_.cut_length_), [this] {
            for (auto daemon = 0; daemon < options_.cut_daemons_; ++daemon) {
                deployment_.heal_links(daemon);
                check_return(daemon);
            }
        });
    }

    // Daemons open new connections to servers, or go on using those that have
    // worked throughout.
    auto check_return(int daemon) -> void {
        if (options_.fault_ == link_fault::refuse_new) {
            return;
        }
        const auto index = returns_.size();
        returns_.push_back(false);
        deployment_.thread().after(
            std::chrono::duration_cast<milliseconds>(time_to_return),
            [this, daemon, index,
             before = deployment_.connections_made(daemon)] {
                returns_[index] = deployment_.connections_made(daemon) > before;
            });
    }

    auto silence_next() -> void {
        silent_until_[next_silent_++ % silent_until_.size()] =
            deployment_.time().now() + options_.silence_;
    }

    auto receive(int number, const transport::request_message& request,
                 const std::shared_ptr<raw_connection>& connection) -> void {
        const auto id = std::string{request.headers_.find(request_id_field)};
        const auto deadline =
            std::string{request.headers_.find(deadline_field)};
        ++runs_[id];
        if (deadline.empty() || std::stoi(deadline) > options_.deadline_) {
            ++long_deadlines_;
            if (first_long_deadline_.empty()) {
                first_long_deadline_ =
                    request.method_ + " " + request.target_ + " id " + id +
                    " deadline \"" + deadline + "\" of " +
                    std::string{request.headers_.find("Host")};
            }
        }
        const auto streamed = request.target_.starts_with("/stream/");
        after_silence(number, milliseconds{20}, [=, this] {
            if (!streamed) {
                connection->write("HTTP/1.1 200 OK\r\n" +
                                  std::string{request_id_field} + ": " + id +
                                  "\r\nContent-Length: 4\r\n\r\ndone");
                return;
            }
            connection->write("HTTP/1.1 200 OK\r\n" +
                              std::string{request_id_field} + ": " + id +
                              "\r\nTransfer-Encoding: chunked\r\n\r\n"
                              "f\r\nid: 1\ndata: a\n\n\r\n");
            for (auto event = 2; event <= options_.stream_events_; ++event) {
                after_silence(
                    number, milliseconds{50} * (event - 1), [=, this] {
                        connection->write(event_chunk(event) +
                                          (event == options_.stream_events_
                                               ? "0\r\n\r\n"
                                               : ""));
                    });
            }
        });
    }

    // Calls `work` later, and not while the server is silent.
    auto after_silence(int number, milliseconds delay,
                       std::function<void()> work) -> void {
        const auto left = std::chrono::ceil<milliseconds>(
            silent_until_[number] - deployment_.time().now());
        deployment_.thread().after(std::max(delay, left + delay),
                                   std::move(work));
    }

    auto send() -> void {
        const auto now = deployment_.time().now();
        if (now > begun_at_ + options_.length_) {
            return;
        }
        static constexpr auto prefixes =
            std::array<const char*, 3>{"/safe/", "/once/", "/stream/"};
        const auto index = requests_.size();
        const auto kind = random_.below(prefixes.size());
        const auto daemon = static_cast<int>(random_.below(options_.daemons_));
        requests_.push_back({.id_ = "q" + std::to_string(index),
                             .sent_at_ = now,
                             .daemon_ = daemon,
                             .once_ = kind == 1});
        auto headers = transport::header_list{};
        headers.add("Host", "x");
        headers.add(request_id_field, requests_[index].id_);
        headers.add(deadline_field, std::to_string(options_.deadline_));
        deployment_.send(daemon,
                         transport::write_request(
                             "POST", prefixes.at(kind) + std::to_string(index),
                             headers, "body"),
                         [this, index](const raw_answer& reply) {
                             auto& entry = requests_[index];
                             entry.status_ = reply.status_;
                             entry.complete_ = reply.complete_;
                             entry.took_ = reply.took_;
                         });
    }

    const scenario options_;
    seeded_random random_{3};
    raw_deployment deployment_;
    std::vector<sent_request> requests_;
    // Number of times that each request has reached a server.
    std::map<std::string, int> runs_;
    std::vector<time_point> silent_until_;
    std::size_t next_silent_ = 0;
    std::vector<bool> returns_;
    time_point begun_at_{};
};

class partitioned_daemons : public ::testing::TestWithParam<scenario> {};

// Requests to a daemon that reached no server were refused or waited for their
// deadlines, while the other daemons served.
TEST_P(partitioned_daemons, callers_of_a_cut_daemon_are_not_served) {
    const auto& options = GetParam();
    auto world = partitioned_daemons_world{options};
    world.run();
    const auto all_cut = options.cut_daemons_ == options.daemons_;
    std::cout << options.name_ << ": served at cut daemons "
              << world.served(true) << ", at the others " << world.served(false)
              << ", of all " << world.served_in_all() << "; "
              << world.broken_promises() << " ran too often, "
              << world.long_deadlines_ << " deadlines too long, own links "
              << (world.used_own_links_again() ? "" : "not ") << "used again\n";
    if (all_cut) {
        std::cout << options.name_ << ": " << world.late_refusals()
                  << " refused late\n";
        EXPECT_EQ(world.late_refusals(), 0);
    } else {
        EXPECT_GE(world.served(true), min_served_ratio * world.served(false));
    }
    EXPECT_EQ(world.broken_promises(), 0);
    EXPECT_EQ(world.long_deadlines_, 0) << world.first_long_deadline_;
    EXPECT_TRUE(world.used_own_links_again());
    if (options.silence_ > duration{0}) {
        EXPECT_GE(world.served_in_all(), 0.99);
    }
}

INSTANTIATE_TEST_SUITE_P(
    scenarios, partitioned_daemons,
    ::testing::Values(
        scenario{.name_ = "one_of_2_hangs", .daemons_ = 2},
        scenario{.name_ = "one_of_7_hangs"},
        scenario{.name_ = "one_of_7_is_reset", .fault_ = link_fault::reset},
        scenario{.name_ = "one_of_7_gets_no_new_connections",
                 .fault_ = link_fault::refuse_new},
        scenario{.name_ = "three_of_7_hang", .cut_daemons_ = 3},
        scenario{.name_ = "six_of_7_hang", .cut_daemons_ = 6},
        scenario{.name_ = "all_7_hang", .cut_daemons_ = 7},
        scenario{.name_ = "all_7_are_reset",
                 .cut_daemons_ = 7,
                 .fault_ = link_fault::reset},
        scenario{.name_ = "twice_three_of_7_are_reset",
                 .cut_daemons_ = 3,
                 .fault_ = link_fault::reset,
                 .cuts_at_ = {seconds{1}, seconds{9}},
                 .cut_length_ = seconds{5},
                 .length_ = seconds{16}},
        scenario{.name_ = "links_of_7_flap",
                 .fault_ = link_fault::reset,
                 .cuts_at_ = {seconds{1}, seconds{3}, seconds{5}, seconds{7}},
                 .cut_length_ = seconds{1}},
        scenario{.name_ = "twenty_of_80_hang",
                 .daemons_ = 80,
                 .cut_daemons_ = 20,
                 .servers_ = 12,
                 .request_interval_ = milliseconds{4}},
        scenario{.name_ = "one_of_7_keeps_streams_of_60_servers",
                 .fault_ = link_fault::refuse_new,
                 .servers_ = 60,
                 .request_interval_ = milliseconds{15},
                 .stream_events_ = 40},
        scenario{.name_ = "twenty_of_80_keep_streams_of_60_servers",
                 .daemons_ = 80,
                 .cut_daemons_ = 20,
                 .fault_ = link_fault::refuse_new,
                 .servers_ = 60,
                 .request_interval_ = milliseconds{4},
                 .stream_events_ = 40},
        scenario{.name_ = "twenty_of_80_hang_60_servers",
                 .daemons_ = 80,
                 .cut_daemons_ = 20,
                 .servers_ = 60,
                 .request_interval_ = milliseconds{4},
                 .stream_events_ = 40},
        scenario{.name_ = "two_of_7_connect_and_hear_nothing",
                 .cut_daemons_ = 2,
                 .fault_ = link_fault::carry_nothing},
        scenario{.name_ = "four_of_7_connect_and_are_reset",
                 .cut_daemons_ = 4,
                 .fault_ = link_fault::reset_requests},
        scenario{.name_ = "twenty_of_80_connect_and_hear_nothing",
                 .daemons_ = 80,
                 .cut_daemons_ = 20,
                 .fault_ = link_fault::carry_nothing,
                 .servers_ = 60,
                 .request_interval_ = milliseconds{4},
                 .stream_events_ = 40},
        scenario{.name_ = "twenty_of_80_connect_and_are_reset",
                 .daemons_ = 80,
                 .cut_daemons_ = 20,
                 .fault_ = link_fault::reset_requests,
                 .servers_ = 60,
                 .request_interval_ = milliseconds{4},
                 .stream_events_ = 40},
        scenario{.name_ = "one_of_7_hangs_short_deadlines",
                 .servers_ = 3,
                 .deadline_ = 900},
        scenario{.name_ = "servers_of_7_fall_silent",
                 .cuts_at_ = {},
                 .silence_ = milliseconds{1200}}),
    [](const auto& info) { return std::string{info.param.name_}; });

} // namespace
} // namespace basilstream::testing
