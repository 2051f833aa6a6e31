#include "basilstream/daemon/quarantine_log/quarantine_log.hpp"

#include <algorithm>
#include <memory>
#include <vector>

#include <gtest/gtest.h>

namespace basilstream::daemon {
namespace {

using coordination::append_outcome;
using coordination::quarantine_verdict;
using coordination::shared_topic;
using coordination::store_record;

class manual_wall_clock final : public wall_clock {
public:
    [[nodiscard]] auto unix_time() const -> milliseconds override {
        return time_;
    }
    milliseconds time_{1'800'000'000'000};
};

// Keeps appended records, or fails while unavailable.
class recording_store final : public coordination::record_store {
public:
    auto read_newest(shared_topic /*topic*/,
                     handler<coordination::record_page> /*done*/)
        -> void override {}
    auto read_from(shared_topic /*topic*/, std::uint64_t /*offset*/,
                   milliseconds /*wait*/,
                   handler<coordination::record_page> /*done*/)
        -> void override {}
    auto append(shared_topic /*topic*/, std::optional<std::uint64_t> /*at*/,
                store_record record, handler<append_outcome> done)
        -> void override {
        ++attempts_;
        if (!available_) {
            done(tl::unexpected(error{error_code::unavailable, step::log}));
            return;
        }
        records_.push_back(std::move(record));
        done(append_outcome{true, records_.size() - 1});
    }
    bool available_ = true;
    int attempts_ = 0;
    std::vector<store_record> records_;
};

class quarantine_log_test : public ::testing::Test {
protected:
    // One daemon's quarantine with its log.
    struct node {
        node(quarantine_log_test& world, const std::string& name)
            : tracker_{{.isolate_suspects_ = false,
                        .count_lost_connections_ = true},
                       name},
              log_{{world.clock_, world.wall_clock_, world.random_,
                    world.logger_},
                   name,
                   tracker_,
                   prompts_,
                   world.store_} {}
        coordination::quarantine tracker_;
        coordination::prompt_quarantine prompts_{{}, "node"};
        quarantine_log log_;
    };

    auto lose(node& on, const std::string& id, const std::string& runner)
        -> bool {
        const auto sent = on.tracker_.on_dispatch(
            {fingerprint_, id, runner, "b"}, clock_.now());
        advance(milliseconds{100});
        on.tracker_.on_connection_lost(id, clock_.now());
        share(on);
        return sent;
    }

    auto share(node& from) -> void {
        for (const auto& event : from.tracker_.poll(clock_.now())) {
            from.log_.publish(event);
        }
        advance(seconds{1});
        from.log_.tick();
        advance(seconds{1});
        from.log_.tick();
    }

    // Applies all records, or those a listing returns: the newest of each key.
    auto read_all(node& reader) -> void {
        for (const auto& record : store_.records_) {
            reader.log_.apply(record);
        }
    }
    auto list(node& reader) -> void {
        for (auto record = store_.records_.rbegin();
             record != store_.records_.rend(); ++record) {
            const auto newer = std::any_of(
                store_.records_.rbegin(), record,
                [&](const auto& other) { return other.key_ == record->key_; });
            if (!newer) {
                reader.log_.apply(*record);
            }
        }
    }

    auto verdict(node& on) -> quarantine_verdict {
        return on.tracker_.check(fingerprint_, clock_.now());
    }

    auto advance(milliseconds step) -> void {
        clock_.advance(step);
        wall_clock_.time_ += step;
    }

    manual_clock clock_;
    manual_wall_clock wall_clock_;
    seeded_random random_{1};
    transport::logger logger_{{transport::log_level::off}, "test"};
    recording_store store_;
    coordination::fingerprint fingerprint_ =
        coordination::make_fingerprint("x", "/path", "body");
    node first_{*this, "d1"};
    node second_{*this, "d2"};
};

// Gossip is lost: each daemon knows only of the crashes that it saw.
TEST_F(quarantine_log_test, crashes_seen_by_unconnected_daemons_do_not_add_up) {
    EXPECT_TRUE(lose(first_, "d1/1", "r1"));
    EXPECT_TRUE(lose(first_, "d1/2", "r2"));
    read_all(second_);
    EXPECT_EQ(verdict(second_), quarantine_verdict::suspected);
    EXPECT_TRUE(lose(second_, "d2/1", "r3"));
    EXPECT_EQ(verdict(second_), quarantine_verdict::quarantined);
    read_all(first_);
    EXPECT_EQ(verdict(first_), quarantine_verdict::quarantined);
}

TEST_F(quarantine_log_test, new_daemon_does_not_know_quarantined_requests) {
    for (const auto* const run : {"1", "2", "3"}) {
        EXPECT_TRUE(lose(first_, run, std::string{"r"} + run));
    }
    // Later batches replace those with the suspicions.
    const auto other = coordination::make_fingerprint("x", "/path", "other");
    EXPECT_TRUE(
        first_.tracker_.on_dispatch({other, "4", "r4", "b"}, clock_.now()));
    first_.tracker_.on_connection_lost("4", clock_.now());
    share(first_);
    advance(seconds{30});
    auto restarted = node{*this, "d1"};
    list(restarted);
    restarted.tracker_.set_members({"d1"}, clock_.now());
    EXPECT_EQ(verdict(restarted), quarantine_verdict::quarantined);
    EXPECT_EQ(restarted.tracker_.check(other, clock_.now()),
              quarantine_verdict::suspected);
    // The time that has passed counts.
    advance(seconds{95});
    static_cast<void>(restarted.tracker_.poll(clock_.now()));
    EXPECT_EQ(verdict(restarted), quarantine_verdict::suspected);
}

// A trial of the request got a complete answer.
TEST_F(quarantine_log_test, removed_mark_stays_in_force_on_other_daemons) {
    for (const auto* const run : {"1", "2", "3"}) {
        EXPECT_TRUE(lose(first_, run, std::string{"r"} + run));
    }
    list(second_);
    EXPECT_EQ(verdict(second_), quarantine_verdict::quarantined);
    first_.log_.publish(coordination::quarantine_release{fingerprint_});
    share(first_);
    list(second_);
    EXPECT_EQ(verdict(second_), quarantine_verdict::clear);
}

TEST_F(quarantine_log_test, records_are_lost_while_the_store_is_away) {
    store_.available_ = false;
    for (const auto* const run : {"1", "2", "3"}) {
        EXPECT_TRUE(lose(first_, run, std::string{"r"} + run));
    }
    EXPECT_TRUE(store_.records_.empty());
    const auto failed_attempts = store_.attempts_;
    first_.log_.tick();
    EXPECT_EQ(store_.attempts_, failed_attempts);
    store_.available_ = true;
    share(first_);
    share(first_);
    list(second_);
    EXPECT_EQ(verdict(second_), quarantine_verdict::quarantined);
}

// A daemon that started later had to learn of a part by crashes of its own.
TEST_F(quarantine_log_test, held_part_is_unknown_to_new_daemons) {
    constexpr auto part = coordination::prompt_part_id{0xbad};
    first_.log_.publish(protocol::quarantine_message{
        coordination::prompt_part_mark{.part_ = part}});
    share(first_);
    list(second_);
    EXPECT_TRUE(second_.prompts_.find_held({part}, clock_.now()));
    first_.log_.publish(
        protocol::quarantine_message{coordination::prompt_part_release{part}});
    share(first_);
    list(second_);
    EXPECT_FALSE(second_.prompts_.find_held({part}, clock_.now()));
}

TEST_F(quarantine_log_test, ignores_a_record_that_cannot_be_decoded) {
    second_.log_.apply({"mark/x", "\xff\xff\xff"});
    second_.log_.apply({"mark/x", std::nullopt});
    EXPECT_TRUE(second_.tracker_.list(clock_.now()).empty());
}

} // namespace
} // namespace basilstream::daemon
