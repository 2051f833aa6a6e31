#include "basilstream/daemon/store_watch/store_watch.hpp"

#include <deque>

#include <gtest/gtest.h>

namespace basilstream::daemon {
namespace {

using coordination::record_page;
using coordination::shared_topic;

// Record store that holds reads until the test answers them.
class scripted_store final : public coordination::record_store {
public:
    struct read {
        shared_topic topic_;
        std::optional<std::uint64_t> from_;
        handler<record_page> done_;
    };

    auto read_newest(shared_topic topic, handler<record_page> done)
        -> void override {
        reads_.push_back({topic, std::nullopt, std::move(done)});
    }
    auto read_from(shared_topic topic, std::uint64_t offset,
                   milliseconds /*wait*/, handler<record_page> done)
        -> void override {
        reads_.push_back({topic, offset, std::move(done)});
    }
    auto append(shared_topic /*topic*/, std::optional<std::uint64_t> /*at*/,
                coordination::store_record /*record*/,
                handler<coordination::append_outcome> /*done*/)
        -> void override {}

    // Answers the oldest pending read of the topic. Returns the offset it reads
    // from; nothing for a listing.
    auto answer(shared_topic topic, const result<record_page>& page)
        -> std::optional<std::uint64_t> {
        for (auto pending = reads_.begin(); pending != reads_.end();
             ++pending) {
            if (pending->topic_ == topic) {
                const auto answered = std::move(*pending);
                reads_.erase(pending);
                answered.done_(page);
                return answered.from_;
            }
        }
        ADD_FAILURE() << "no read of the topic is pending";
        return std::nullopt;
    }
    [[nodiscard]] auto reading(shared_topic topic) const -> bool {
        for (const auto& pending : reads_) {
            if (pending.topic_ == topic) {
                return true;
            }
        }
        return false;
    }

    std::deque<read> reads_;
};

// Decodes a record's value as a configuration version or a server's state.
class test_decoder final : public coordination::record_decoder {
public:
    [[nodiscard]] auto configuration(const coordination::store_record& record,
                                     std::vector<error>& /*skipped*/) const
        -> result<std::shared_ptr<const coordination::relay_config>> override {
        auto config = std::make_shared<coordination::relay_config>();
        config->version_ = std::stoul(*record.value_);
        return config;
    }
    [[nodiscard]] auto backend(const coordination::store_record& record) const
        -> result<coordination::backend_server> override {
        if (record.value_ == "torn") {
            return tl::unexpected(error{error_code::invalid_argument,
                                        step::resource, record.key_, "torn"});
        }
        auto server = coordination::backend_server{};
        server.id_ = record.key_;
        server.draining_ = record.value_ == "draining";
        return server;
    }
};

class store_watch_test : public testing::Test, public store_observer {
protected:
    auto on_config(std::shared_ptr<const coordination::relay_config> config)
        -> void override {
        versions_.push_back(config->version_);
    }
    auto on_backend(const coordination::backend_server& server)
        -> void override {
        events_.push_back(server.id_ + (server.draining_ ? " draining" : ""));
    }
    auto on_backend_gone(const std::string& id) -> void override {
        events_.push_back(id + " gone");
    }
    auto on_quarantine_record(const coordination::store_record& record)
        -> void override {
        quarantine_keys_.push_back(record.key_);
    }
    auto on_read(shared_topic topic, std::uint64_t from,
                 const record_page& page) -> void override {
        if (topic == shared_topic::backends) {
            relayed_.push_back({from, page});
        }
    }

    auto advance(duration step) -> void {
        clock_.advance(step);
        watch_.tick();
    }

    static auto failure() -> tl::unexpected<error> {
        return tl::unexpected(
            error{error_code::timeout, step::log, "store", "no answer"});
    }

    manual_clock clock_;
    seeded_random random_{1};
    transport::logger log_{{transport::log_level::off}, "test"};
    scripted_store store_;
    test_decoder decoder_;
    store_watch watch_{{clock_, random_, log_}, {}, store_, decoder_, *this};
    std::vector<std::uint64_t> versions_;
    std::vector<std::string> events_;
    std::vector<std::string> quarantine_keys_;
    std::vector<std::pair<std::uint64_t, record_page>> relayed_;
};

TEST_F(store_watch_test, reads_newest_records_then_reads_from_their_end) {
    advance(milliseconds{0});
    EXPECT_FALSE(watch_.has_listed_backends());
    store_.answer(shared_topic::backends,
                  record_page{{{"a", "ready"}, {"b", "ready"}}, 7, false});
    EXPECT_TRUE(watch_.has_listed_backends());
    EXPECT_EQ(events_, (std::vector<std::string>{"a", "b"}));
    advance(seconds{1});
    EXPECT_EQ(store_.answer(shared_topic::backends,
                            record_page{{{"a", "draining"}}, 8, false}),
              7U);
    EXPECT_EQ(events_.back(), "a draining");
}

TEST_F(store_watch_test, reports_quarantine_records_that_others_wrote_before) {
    advance(milliseconds{0});
    EXPECT_FALSE(watch_.last_read(shared_topic::quarantine));
    store_.answer(shared_topic::quarantine,
                  record_page{{{"mark", "1"}}, 3, false});
    EXPECT_TRUE(watch_.last_read(shared_topic::quarantine));
    advance(seconds{1});
    EXPECT_EQ(store_.answer(shared_topic::quarantine,
                            record_page{{{"mark", std::nullopt, 3}}, 4, false}),
              3U);
    watch_.on_relayed(shared_topic::quarantine, 4,
                      {{{"d2", "2", 4}}, 5, false});
    EXPECT_EQ(quarantine_keys_,
              (std::vector<std::string>{"mark", "mark", "d2"}));
}

TEST_F(store_watch_test, reports_only_higher_configuration_versions) {
    advance(milliseconds{0});
    store_.answer(shared_topic::configuration,
                  record_page{{{"c", "5"}}, 2, false});
    advance(seconds{1});
    store_.answer(shared_topic::configuration,
                  record_page{{{"c", "4"}, {"c", "9"}, {"c", "7"}}, 5, false});
    EXPECT_EQ(versions_, (std::vector<std::uint64_t>{5, 9}));
}

// The store has deleted the records that follow the last read.
TEST_F(store_watch_test, lists_again_when_records_have_expired) {
    advance(milliseconds{0});
    store_.answer(shared_topic::backends,
                  record_page{{{"a", "ready"}, {"b", "ready"}}, 7, false});
    advance(seconds{1});
    store_.answer(shared_topic::backends, record_page{{}, 0, true});
    advance(milliseconds{0});
    EXPECT_FALSE(store_
                     .answer(shared_topic::backends,
                             record_page{{{"b", "draining"}}, 90, false})
                     .has_value());
    EXPECT_EQ(events_,
              (std::vector<std::string>{"a", "b", "a gone", "b draining"}));
}

// After the store's return to an older copy, its log had grown past the
// position of the last read, and the records before were never read.
TEST_F(store_watch_test, config_of_a_new_era_is_missed) {
    advance({});
    store_.answer(shared_topic::configuration,
                  record_page{{{"config", "5", 8}}, 9, false, 1});
    advance(seconds{1});
    // Versions 6 and 7 lie before the position.
    EXPECT_EQ(store_.answer(shared_topic::configuration,
                            record_page{{{"other", "1", 9}}, 10, false, 2}),
              9U);
    advance({});
    EXPECT_EQ(store_.answer(shared_topic::configuration,
                            record_page{{{"config", "7", 6}}, 10, false, 2}),
              std::nullopt);
    EXPECT_EQ(versions_, (std::vector<std::uint64_t>{5, 7}));
    advance(seconds{1});
    EXPECT_EQ(store_.answer(shared_topic::configuration,
                            record_page{{}, 10, false, 2}),
              10U);
}

// A daemon that another one reads for did not read by itself, and dropped the
// records before its position from what it was told.
TEST_F(store_watch_test, relayed_page_of_a_new_era_is_taken_for_a_later_one) {
    advance({});
    store_.answer(shared_topic::backends,
                  record_page{{{"i-1", "ready", 8}}, 9, false, 1});
    store_.answer(shared_topic::configuration,
                  record_page{{{"config", "5", 8}}, 9, false, 1});
    advance(seconds{1});
    ASSERT_TRUE(store_.reading(shared_topic::configuration));
    events_.clear();
    watch_.on_relayed(shared_topic::configuration, 6,
                      {{{"config", "7", 6}}, 10, false, 2});
    // The read that was under way is of the former era.
    store_.answer(shared_topic::configuration, record_page{{}, 9, false, 1});
    advance({});
    EXPECT_EQ(store_.answer(shared_topic::configuration,
                            record_page{{{"config", "7", 6}}, 10, false, 2}),
              std::nullopt);
    EXPECT_EQ(versions_, (std::vector<std::uint64_t>{5, 7}));
    // A page that was read before the change is not applied any more.
    watch_.on_relayed(shared_topic::configuration, 9,
                      {{{"config", "8", 11}}, 12, false, 1});
    EXPECT_EQ(versions_, (std::vector<std::uint64_t>{5, 7}));
}

// Servers that the copy does not hold are dropped, those that it holds return.
TEST_F(store_watch_test, server_of_a_new_era_is_missed) {
    advance({});
    store_.answer(
        shared_topic::backends,
        record_page{{{"i-1", "ready", 7}, {"i-2", "ready", 8}}, 9, false, 1});
    advance(seconds{1});
    events_.clear();
    store_.answer(shared_topic::backends,
                  record_page{{{"i-9", "ready", 9}}, 10, false, 2});
    advance({});
    store_.answer(
        shared_topic::backends,
        record_page{
            {{"i-1", "draining", 6}, {"i-9", "ready", 9}}, 10, false, 2});
    EXPECT_EQ(events_, (std::vector<std::string>{"i-1 draining", "i-9"}));
    advance(seconds{3});
    EXPECT_EQ(events_,
              (std::vector<std::string>{"i-1 draining", "i-9", "i-2 gone"}));
}

TEST_F(store_watch_test, keeps_backends_while_the_store_is_unavailable) {
    advance(milliseconds{0});
    store_.answer(shared_topic::backends,
                  record_page{{{"a", "ready"}}, 7, false});
    advance(seconds{1});
    store_.answer(shared_topic::backends, failure());
    EXPECT_FALSE(store_.reading(shared_topic::backends));
    advance(seconds{2});
    ASSERT_TRUE(store_.reading(shared_topic::backends));
    // All announcements expired during the outage; servers are kept for the
    // return period so that they can announce themselves again.
    store_.answer(shared_topic::backends,
                  record_page{{{"a", std::nullopt}}, 8, false});
    EXPECT_EQ(events_, (std::vector<std::string>{"a"}));
    advance(seconds{3});
    EXPECT_EQ(events_.back(), "a gone");
}

TEST_F(store_watch_test, relays_only_records_that_change_something) {
    advance(milliseconds{0});
    store_.answer(shared_topic::backends,
                  record_page{{{"a", "ready"}, {"b", "ready"}}, 7, false});
    EXPECT_TRUE(relayed_.empty());
    advance(seconds{1});
    store_.answer(
        shared_topic::backends,
        record_page{{{"a", "ready", 7}, {"b", "draining", 8}}, 9, false});
    ASSERT_EQ(relayed_.size(), 1U);
    EXPECT_EQ(relayed_[0].first, 7U);
    EXPECT_EQ(relayed_[0].second.end_, 9U);
    ASSERT_EQ(relayed_[0].second.records_.size(), 1U);
    EXPECT_EQ(relayed_[0].second.records_[0].key_, "b");
}

// A lagging daemon must not defer the reads of other daemons.
TEST_F(store_watch_test, does_not_relay_a_late_read) {
    advance(milliseconds{0});
    store_.answer(shared_topic::backends,
                  record_page{{{"a", "ready"}}, 7, false});
    advance(seconds{1});
    clock_.advance(milliseconds{400});
    store_.answer(shared_topic::backends,
                  record_page{{{"a", "draining", 7}}, 8, false});
    EXPECT_EQ(events_.back(), "a draining");
    EXPECT_TRUE(relayed_.empty());
}

// While another daemon relays its pages, this daemon reads only after they
// stop.
TEST_F(store_watch_test, relayed_page_replaces_a_read) {
    advance(milliseconds{0});
    store_.answer(shared_topic::backends,
                  record_page{{{"a", "ready"}}, 7, false});
    auto reads = 0;
    for (auto turn = std::uint64_t{0}; turn < 20; ++turn) {
        advance(milliseconds{500});
        reads += store_.reading(shared_topic::backends) ? 1 : 0;
        const auto from = 7 + turn;
        watch_.on_relayed(shared_topic::backends, from,
                          {{{"a", turn % 2 == 0 ? "draining" : "ready", from}},
                           from + 1,
                           false});
    }
    EXPECT_EQ(reads, 0);
    EXPECT_EQ(events_.size(), 21U);
    advance(milliseconds{1100});
    EXPECT_EQ(store_.answer(shared_topic::backends, record_page{{}, 27, false}),
              27U);
}

// Guards against all daemons of a deployment that read on for themselves right
// after they have started together.
TEST_F(store_watch_test, listing_defers_the_next_read_on_request) {
    auto deferring = store_watch{{clock_, random_, log_},
                                 schedule_reads(seconds{3}, seconds{3}),
                                 store_,
                                 decoder_,
                                 *this};
    const auto advance_to_next_read = [&](shared_topic topic) {
        auto waited = milliseconds{0};
        constexpr auto step = milliseconds{50};
        for (; !store_.reading(topic) && waited < seconds{10}; waited += step) {
            clock_.advance(step);
            deferring.tick();
        }
        return waited;
    };
    deferring.tick();
    store_.answer(shared_topic::configuration,
                  record_page{{{"config", "1"}}, 1, false});
    const auto pause = advance_to_next_read(shared_topic::configuration);
    EXPECT_GE(pause, milliseconds{1500});
    // A change after the listing is still followed in time.
    EXPECT_LE(pause, milliseconds{2500});
    // An empty listing says that the configuration is yet to come.
    store_.answer(shared_topic::backends, record_page{{}, 0, false});
    EXPECT_LE(advance_to_next_read(shared_topic::backends), milliseconds{900});
}

// A daemon with a read in flight, for example after an update notice, must not
// keep reading in parallel with the daemon that relays pages to it.
TEST_F(store_watch_test, relayed_page_during_a_read_defers_the_next_read) {
    advance(milliseconds{0});
    store_.answer(shared_topic::configuration,
                  record_page{{{"config", "1"}}, 1, false});
    advance(milliseconds{100});
    ASSERT_TRUE(store_.reading(shared_topic::configuration));
    for (auto turn = 0; turn < 5; ++turn) {
        advance(milliseconds{500});
        watch_.on_relayed(shared_topic::configuration, 1, {{}, 1, false});
        if (store_.reading(shared_topic::configuration)) {
            EXPECT_EQ(turn, 0);
            store_.answer(shared_topic::configuration,
                          record_page{{}, 1, false});
        }
    }
    EXPECT_FALSE(store_.reading(shared_topic::configuration));
    advance(milliseconds{1400});
    EXPECT_TRUE(store_.reading(shared_topic::configuration));
}

// A daemon read a server's older announcement after the news of its end had
// been relayed, and sent requests to it until it could not be reached.
TEST_F(store_watch_test, late_read_brings_back_a_server_that_has_left) {
    advance(milliseconds{0});
    store_.answer(shared_topic::backends,
                  record_page{{{"a", "ready", 6}}, 7, false});
    advance(milliseconds{600});
    watch_.on_relayed(shared_topic::backends, 7,
                      {{{"a", std::nullopt, 8}}, 9, false});
    EXPECT_EQ(events_.back(), "a gone");
    EXPECT_EQ(store_.answer(shared_topic::backends,
                            record_page{{{"a", "ready", 7}}, 8, false}),
              7U);
    EXPECT_EQ(events_.back(), "a gone");
    // Records beyond the relayed page count.
    advance(seconds{2});
    store_.answer(shared_topic::backends,
                  record_page{{{"b", "ready", 9}}, 10, false});
    EXPECT_EQ(events_.back(), "b");
}

// A configuration is too large to be relayed; an update notice is sent instead.
TEST_F(store_watch_test, update_notice_triggers_an_immediate_read) {
    advance(milliseconds{0});
    store_.answer(shared_topic::configuration,
                  record_page{{{"c", "5"}}, 2, false});
    watch_.on_relayed(shared_topic::configuration, 2, {{}, 2, false});
    advance(milliseconds{200});
    EXPECT_FALSE(store_.reading(shared_topic::configuration));
    watch_.on_update_notice(shared_topic::configuration);
    advance(milliseconds{0});
    EXPECT_TRUE(store_.reading(shared_topic::configuration));
}

TEST_F(store_watch_test, ignores_a_relayed_page_after_a_gap) {
    advance(milliseconds{0});
    store_.answer(shared_topic::backends,
                  record_page{{{"a", "ready"}}, 7, false});
    watch_.on_relayed(shared_topic::backends, 9,
                      {{{"a", "draining", 9}}, 10, false});
    EXPECT_EQ(events_.size(), 1U);
    advance(seconds{1});
    EXPECT_EQ(store_.answer(shared_topic::backends,
                            record_page{{{"a", "draining"}}, 8, false}),
              7U);
    EXPECT_EQ(events_.back(), "a draining");
}

TEST_F(store_watch_test, ignores_an_undecodable_backend_record) {
    advance(milliseconds{0});
    store_.answer(shared_topic::backends,
                  record_page{{{"a", "ready"}, {"b", "torn"}}, 2, false});
    EXPECT_EQ(events_, (std::vector<std::string>{"a"}));
}

TEST_F(store_watch_test, respects_the_backend_read_interval) {
    auto reads = 0;
    for (auto turn = 0; turn < 200; ++turn) {
        advance(milliseconds{50});
        if (store_.reading(shared_topic::backends)) {
            ++reads;
            store_.answer(shared_topic::backends, record_page{{}, 1, false});
        }
    }
    EXPECT_LE(reads, 10'000 / 600 + 1);
    EXPECT_GE(reads, 15);
}

} // namespace
} // namespace basilstream::daemon
