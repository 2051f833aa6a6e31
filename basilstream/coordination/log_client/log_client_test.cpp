#include "basilstream/coordination/log_client/log_client.hpp"

#include <gtest/gtest.h>

namespace basilstream::coordination {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

class log_client : public ::testing::Test {
protected:
    auto submit() -> state::record_id {
        return *writer_.submit(append_purpose::configuration,
                               state::quarantine_mark{"f", "", "", "", 0}, 0);
    }
    // Puts a record into the log that the reader sees.
    auto land(const state::envelope& entry) -> void { log_.push_back(entry); }
    auto land(state::record body) -> void {
        land({state::make_record_id(random_), first_ + log_.size(),
              std::move(body)});
    }
    auto bounds() const -> log_bounds { return {first_, first_ + log_.size()}; }
    // Drops the oldest records, as retention does.
    auto expire(std::size_t count) -> void {
        log_.erase(log_.begin(),
                   log_.begin() + static_cast<std::ptrdiff_t>(count));
        first_ += count;
    }
    // Serves every read of `reader` until it follows or stands still.
    auto serve(replica& reader) -> void {
        for (auto i = 0; i < 20; ++i) {
            now_ += seconds{10};
            const auto request = reader.poll(now_);
            if (!request) {
                return;
            }
            if (request->kind_ == read_request::kind::bounds) {
                reader.on_bounds(request->ticket_, bounds(), now_);
            } else if (request->from_ < first_) {
                reader.on_truncated(request->ticket_, bounds(), now_);
            } else {
                reader.on_records(request->ticket_, entries(request->from_),
                                  bounds(), now_);
            }
        }
    }
    auto entries(state::log_offset from) const -> std::vector<log_entry> {
        auto all = std::vector<log_entry>{};
        for (auto at = from; at < bounds().next_; ++at) {
            all.push_back({at, log_[at - first_]});
        }
        return all;
    }
    auto land_snapshot(const replica& reader) -> void {
        for (auto& part : make_snapshot(reader.state(), random_, 64)) {
            land(std::move(part));
        }
    }

    seeded_random random_{1};
    time_point now_{};
    appender writer_{appender_options{}, random_};
    state::log_offset first_ = 0;
    std::vector<state::envelope> log_;
};

TEST_F(log_client, appends_again_under_the_same_id_until_read_back) {
    const auto id = submit();
    const auto first = writer_.poll(now_);
    ASSERT_TRUE(first.has_value());
    EXPECT_FALSE(writer_.poll(now_).has_value()) << "one call at a time";
    writer_.on_failed(first->ticket_, seconds{3}, now_);
    EXPECT_FALSE(writer_.poll(now_ + seconds{2}).has_value());
    const auto second = writer_.poll(now_ + seconds{4});
    ASSERT_TRUE(second.has_value());
    EXPECT_EQ(second->records_.at(0).id_, id);
    // The first one took effect after all.
    writer_.on_record(id, 7, {});
    EXPECT_FALSE(writer_.pending(id));
    writer_.on_failed(second->ticket_, {}, now_ + seconds{5});
    EXPECT_FALSE(writer_.poll(now_ + minutes{1}).has_value());
    const auto fates = writer_.take_resolutions();
    ASSERT_EQ(fates.size(), 1U);
    EXPECT_TRUE(fates[0].accepted());
}

TEST_F(log_client, an_unanswered_call_is_unknown_after_a_while) {
    const auto id = submit();
    EXPECT_TRUE(writer_.poll(now_).has_value());
    EXPECT_FALSE(writer_.poll(now_ + seconds{4}).has_value());
    EXPECT_FALSE(writer_.poll(now_ + seconds{5}).has_value()) << "backs off";
    const auto again = writer_.poll(now_ + seconds{10});
    ASSERT_TRUE(again.has_value());
    EXPECT_EQ(again->records_.at(0).id_, id);
    // A late answer to the first call is of no interest.
    writer_.on_accepted(1, 0);
    EXPECT_TRUE(writer_.pending(id));
}

TEST_F(log_client, says_never_only_when_a_record_can_no_longer_land) {
    const auto id = submit();
    writer_.on_position(state::duplicate_window);
    EXPECT_TRUE(writer_.pending(id));
    writer_.on_position(state::duplicate_window + 1);
    EXPECT_EQ(writer_.take_resolutions().at(0).fate_, append_fate::never);
    submit();
    writer_.on_restart();
    writer_.on_position(state::duplicate_window + 1);
    EXPECT_EQ(writer_.take_resolutions().at(0).fate_, append_fate::unseen);
}

TEST_F(log_client, a_purpose_cannot_crowd_out_the_others) {
    for (auto i = 0; i < 500; ++i) {
        std::ignore = writer_.submit(append_purpose::snapshots,
                                     state::format_level{1}, 0);
    }
    std::ignore =
        writer_.submit(append_purpose::claims, state::shard_claim{}, 0);
    const auto batch = writer_.poll(now_);
    ASSERT_TRUE(batch.has_value());
    EXPECT_EQ(kind_of(batch->records_.at(0).body_),
              state::record_kind::shard_claim);
    EXPECT_EQ(batch->records_.size(), 101U) << "the snapshots' burst and one";
    writer_.on_accepted(batch->ticket_, 0);
    EXPECT_EQ(writer_.poll(now_ + seconds{1})->records_.size(), 50U);
}

TEST_F(log_client, starts_from_a_whole_snapshot_and_the_tail) {
    land(state::shard_claim{"s", "d", 0});
    auto old = replica{replica_options{}, random_};
    serve(old);
    ASSERT_TRUE(old.ready());
    land_snapshot(old);
    auto torn = make_snapshot(old.state(), random_, 64);
    torn.back().at_offset_ = 1000;
    torn.back().snapshot_ = state::make_record_id(random_);
    land(torn.back());
    land(state::quarantine_mark{"f", "", "", "", 0});
    expire(1);
    serve(old);
    auto fresh = replica{replica_options{}, random_};
    EXPECT_FALSE(fresh.ready());
    serve(fresh);
    ASSERT_TRUE(fresh.ready());
    EXPECT_EQ(fresh.state().find_shard("s").owner_, "d");
    EXPECT_EQ(fresh.state().digest(), old.state().digest());
}

TEST_F(log_client, looks_through_the_newest_records_first) {
    land(state::shard_claim{"s", "d", 0});
    auto old = replica{replica_options{}, random_};
    serve(old);
    land_snapshot(old);
    for (auto i = 0; i < 20; ++i) {
        land(state::quarantine_mark{"f", "", "", "", 0});
    }
    expire(1);
    auto options = replica_options{};
    options.scan_records_ = 4;
    auto fresh = replica{options, random_};
    const auto bounds_call = fresh.poll(now_);
    fresh.on_bounds(bounds_call->ticket_, bounds(), now_);
    const auto newest = fresh.poll(now_);
    EXPECT_EQ(newest->from_, bounds().next_ - 4);
    fresh.on_records(newest->ticket_, entries(newest->from_), bounds(), now_);
    const auto wider = fresh.poll(now_);
    EXPECT_EQ(wider->from_, first_) << "no snapshot in the newest four";
    fresh.on_records(wider->ticket_, entries(wider->from_), bounds(), now_);
    serve(fresh);
    EXPECT_TRUE(fresh.ready());
    EXPECT_EQ(fresh.state().find_shard("s").owner_, "d");
}

// Found by the randomised run: a snapshot that was appended late hid the one
// that was needed.
TEST_F(log_client, looks_past_a_snapshot_older_than_the_head) {
    land(state::shard_claim{"s", "d", 0});
    auto old = replica{replica_options{}, random_};
    serve(old);
    const auto late = make_snapshot(old.state(), random_, 1UL << 20U);
    land(state::quarantine_mark{"f", "", "", "", 0});
    land(state::quarantine_mark{"g", "", "", "", 0});
    serve(old);
    land_snapshot(old);
    for (auto i = 0; i < 20; ++i) {
        land(state::quarantine_lift{"f"});
    }
    land(late.at(0));
    expire(2);
    auto options = replica_options{};
    options.scan_records_ = 4;
    auto fresh = replica{options, random_};
    serve(fresh);
    EXPECT_TRUE(fresh.ready());
}

TEST_F(log_client, is_not_ready_without_a_whole_snapshot) {
    land(state::shard_claim{"s", "d", 0});
    land(state::shard_release{"s", 1});
    expire(1);
    auto fresh = replica{replica_options{}, random_};
    serve(fresh);
    EXPECT_FALSE(fresh.ready());
    EXPECT_EQ(fresh.phase(), replica_phase::stranded);
    EXPECT_FALSE(fresh.rebase()) << "it holds no state to go on from";
}

// Everything the log held has expired in an outage: a daemon that had read it
// all writes the state again, owner or not.
TEST_F(log_client, any_daemon_saves_a_state_that_the_log_has_lost) {
    land(state::shard_claim{"s", "d", 0});
    auto reader = replica{replica_options{}, random_};
    serve(reader);
    auto saver = snapshot_writer{snapshot_options{}, random_};
    saver.poll(reader, writer_, false, now_);
    EXPECT_EQ(saver.written(), 0U);
    expire(1);
    serve(reader);
    ASSERT_EQ(reader.phase(), replica_phase::following);
    saver.poll(reader, writer_, false, now_);
    EXPECT_EQ(saver.written(), 1U);
    const auto batch = writer_.poll(now_);
    ASSERT_TRUE(batch.has_value());
    for (const auto& entry : batch->records_) {
        land(entry);
    }
    auto fresh = replica{replica_options{}, random_};
    serve(fresh);
    EXPECT_EQ(fresh.state().find_shard("s").owner_, "d");
}

// The outage outlasted the retention and nobody had read the last records.
TEST_F(log_client, an_operator_can_go_on_from_the_best_living_state) {
    land(state::shard_claim{"s", "d", 0});
    auto reader = replica{replica_options{}, random_};
    serve(reader);
    land(state::shard_release{"s", 1});
    expire(2);
    serve(reader);
    EXPECT_EQ(reader.phase(), replica_phase::stranded);
    EXPECT_TRUE(reader.ready()) << "requests go on from the last state";
    EXPECT_TRUE(reader.rebase());
    serve(reader);
    EXPECT_EQ(reader.phase(), replica_phase::following);
    EXPECT_EQ(reader.state().next_offset(), 2U);
    EXPECT_EQ(reader.state().find_shard("s").owner_, "d");
}

TEST_F(log_client, paces_reads_of_a_busy_stream) {
    auto options = replica_options{};
    options.read_interval_ = seconds{1};
    auto reader = replica{options, random_};
    serve(reader);
    land(state::shard_claim{"s", "d", 0});
    now_ += seconds{10};
    const auto request = reader.poll(now_);
    reader.on_records(request->ticket_, entries(0), bounds(), now_);
    EXPECT_FALSE(reader.poll(now_ + milliseconds{999}).has_value());
    EXPECT_TRUE(reader.poll(now_ + seconds{1}).has_value());
}

TEST_F(log_client, skips_torn_records_and_repeated_answers) {
    auto reader = replica{replica_options{}, random_};
    land(state::shard_claim{"s", "d", 0});
    serve(reader);
    now_ += seconds{10};
    const auto request = reader.poll(now_);
    const auto claim = log_.at(0);
    auto batch = std::vector<log_entry>{{0, claim}, {1, {}}, {2, claim}};
    const auto applied =
        reader.on_records(request->ticket_, batch, {0, 3}, now_);
    ASSERT_EQ(applied.size(), 1U);
    EXPECT_EQ(applied[0].outcome_.reason_, state::rejection::duplicate_id);
    EXPECT_TRUE(
        reader.on_records(request->ticket_, batch, {0, 3}, now_).empty());
    EXPECT_EQ(reader.state().next_offset(), 3U);
}

} // namespace
} // namespace basilstream::coordination
