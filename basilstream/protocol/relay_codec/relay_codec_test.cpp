#include "basilstream/protocol/relay_codec/relay_codec.hpp"

#include <cmath>

#include "basilstream/protocol/generated/relay.pb.h"
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace basilstream::protocol {
namespace {

TEST(relay_codec, keeps_every_field_of_an_update) {
    auto update = relay_update{};
    update.has_loads_ = true;
    update.loads_ = {{"i-1", 3, 2'000'000}};
    update.demands_ = {{"chat", "m1", "a1", 4, 1, 900, 1300}};
    update.changes_ = {{"i-1", "chat", "m1", "a1", residency_state::coming,
                        milliseconds{250}}};
    update.lease_epoch_ = 0;
    update.lease_left_ = milliseconds{1200};
    update.lease_end_ = 17;
    update.has_totals_ = true;
    update.totals_ = {{"i-2", 9, 70}};
    update.load_effect_ = 80;
    update.model_demands_ = {{"chat", "m1", 4000}};
    update.heard_ = {"d1", "d2"};
    update.pages_ = {{coordination::shared_topic::backends,
                      5,
                      9,
                      {{"k", "v", 6}, {"gone", std::nullopt, 8}},
                      true}};
    update.limits_ = {{"i-3", 1000, 1.1, milliseconds{40}},
                      {"i-4", 2000, std::nullopt, milliseconds{50}}};
    update.permit_requests_ = {
        {7, "i-3", milliseconds{800}},
        {9, "i-5", milliseconds{700}, 0.0, milliseconds{3000}}};
    update.permit_answers_ = {{8, true, milliseconds{90}},
                              {9, true, milliseconds{0}, true}};
    update.bearable_rejections_ = {{"i-5", 1000, 0.0, milliseconds{20}}};
    update.slot_returns_ = {{9, "i-5", coordination::slot_outcome::rejected}};
    update.stream_origins_ = {{"q1", "v1.2"}};
    update.origin_queries_ = {{9, "q2", "chat"}};
    update.origin_answers_ = {
        {10, "v1"},
        {11, std::nullopt},
        {12, "v1", true, true},
        {.id_ = 13, .inferred_ = true, .several_seen_ = true}};
    const auto read = decode_relay_update(encode(update));
    ASSERT_TRUE(read);
    EXPECT_EQ(read->stream_origins_.at(0).request_, "q1");
    EXPECT_EQ(read->stream_origins_.at(0).version_, "v1.2");
    EXPECT_EQ(read->origin_queries_.at(0).id_, 9U);
    EXPECT_EQ(read->origin_queries_.at(0).request_, "q2");
    EXPECT_EQ(read->origin_queries_.at(0).service_, "chat");
    EXPECT_EQ(read->origin_answers_.at(0).version_, "v1");
    EXPECT_EQ(read->origin_answers_.at(1).version_, std::nullopt);
    EXPECT_FALSE(read->origin_answers_.at(1).inferred_);
    EXPECT_TRUE(read->origin_answers_.at(2).inferred_);
    EXPECT_TRUE(read->origin_answers_.at(2).outdated_);
    EXPECT_FALSE(read->origin_answers_.at(2).several_seen_);
    EXPECT_TRUE(read->origin_answers_.at(3).several_seen_);
    ASSERT_EQ(read->limits_.size(), 2U);
    EXPECT_EQ(read->limits_[0].server_, "i-3");
    EXPECT_EQ(read->limits_[0].started_at_, 1000);
    EXPECT_EQ(read->limits_[0].per_second_, 1.1);
    EXPECT_EQ(read->limits_[0].age_, milliseconds{40});
    EXPECT_EQ(read->limits_[1].per_second_, std::nullopt);
    EXPECT_EQ(read->permit_requests_.at(0).id_, 7U);
    EXPECT_EQ(read->permit_requests_.at(0).server_, "i-3");
    EXPECT_EQ(read->permit_requests_.at(0).max_wait_, milliseconds{800});
    EXPECT_EQ(read->permit_requests_.at(0).bearable_, std::nullopt);
    EXPECT_EQ(read->permit_requests_.at(1).bearable_, 0.0);
    EXPECT_EQ(read->permit_requests_.at(1).lifetime_, milliseconds{3000});
    EXPECT_FALSE(read->permit_answers_.at(0).holds_slot_);
    EXPECT_TRUE(read->permit_answers_.at(1).holds_slot_);
    EXPECT_EQ(read->bearable_rejections_.at(0).server_, "i-5");
    EXPECT_EQ(read->bearable_rejections_.at(0).per_second_, 0.0);
    EXPECT_EQ(read->slot_returns_.at(0).id_, 9U);
    EXPECT_EQ(read->slot_returns_.at(0).server_, "i-5");
    EXPECT_EQ(read->slot_returns_.at(0).outcome_,
              coordination::slot_outcome::rejected);
    EXPECT_EQ(read->permit_answers_.at(0).id_, 8U);
    EXPECT_TRUE(read->permit_answers_.at(0).granted_);
    EXPECT_EQ(read->permit_answers_.at(0).wait_, milliseconds{90});
    EXPECT_TRUE(read->has_loads_);
    EXPECT_EQ(read->loads_.at(0).requests_, 3U);
    EXPECT_EQ(read->loads_.at(0).speed_, 2'000'000U);
    EXPECT_EQ(read->demands_.at(0).tokens_, 900U);
    EXPECT_EQ(read->demands_.at(0).unserved_, 1U);
    EXPECT_EQ(read->demands_.at(0).weighted_tokens_, 1300U);
    EXPECT_EQ(read->changes_.at(0).state_, residency_state::coming);
    EXPECT_EQ(read->changes_.at(0).ready_in_, milliseconds{250});
    EXPECT_EQ(read->lease_epoch_, 0U);
    EXPECT_EQ(read->lease_left_, milliseconds{1200});
    EXPECT_EQ(read->lease_end_, 17U);
    EXPECT_TRUE(read->has_totals_);
    EXPECT_EQ(read->totals_.at(0).requests_, 9U);
    EXPECT_EQ(read->totals_.at(0).speed_, 70U);
    EXPECT_EQ(read->load_effect_, 80U);
    EXPECT_EQ(read->model_demands_.at(0).model_, "m1");
    EXPECT_EQ(read->model_demands_.at(0).tokens_per_second_, 4000U);
    EXPECT_EQ(read->heard_, update.heard_);
    ASSERT_EQ(read->pages_.size(), 1U);
    EXPECT_EQ(read->pages_[0].topic_, coordination::shared_topic::backends);
    EXPECT_EQ(read->pages_[0].end_, 9U);
    EXPECT_TRUE(read->pages_[0].read_now_);
    EXPECT_EQ(read->pages_[0].records_.at(0).value_, "v");
    EXPECT_EQ(read->pages_[0].records_.at(0).offset_, 6U);
    EXPECT_FALSE(read->pages_[0].records_.at(1).value_.has_value());
    EXPECT_FALSE(
        decode_relay_update(encode(relay_update{}))->lease_epoch_.has_value());
}

// Guards against speeds that crowd the links of small daemons.
TEST(relay_codec, speed_takes_at_most_four_bytes) {
    auto update = relay_update{};
    update.loads_ = {{"i-1", 3}};
    update.totals_ = {{"i-1", 3}};
    const auto without = encode(update).size();
    update.loads_[0].speed_ = (1U << 21U) - 1;
    EXPECT_LE(encode(update).size(), without + 4);
    update.totals_[0].speed_ = (1U << 7U) - 1;
    EXPECT_LE(encode(update).size(), without + 6);
}

TEST(relay_codec, rejects_invalid_rate_limits) {
    for (const auto limit : {-1.0, std::nan(""), HUGE_VAL}) {
        auto update = relay_update{};
        update.limits_ = {{"i-3", 0, limit, milliseconds{0}}};
        EXPECT_FALSE(decode_relay_update(encode(update)));
    }
}

TEST(relay_codec, keeps_lease_entries) {
    const auto read = decode_lease_entry(encode(coordination::lease_entry{
        coordination::lease_entry_kind::renewal, "entry-1", 9, 0}));
    ASSERT_TRUE(read);
    EXPECT_EQ(read->kind_, coordination::lease_entry_kind::renewal);
    EXPECT_EQ(read->holder_, "entry-1");
    EXPECT_EQ(read->epoch_, 9U);
    EXPECT_EQ(read->era_, 0U);
    const auto without_era =
        decode_lease_entry(encode(coordination::lease_entry{
            coordination::lease_entry_kind::renewal, "entry-1", 9}));
    ASSERT_TRUE(without_era);
    EXPECT_FALSE(without_era->era_.has_value());
    EXPECT_FALSE(decode_lease_entry(""));
}

RC_GTEST_PROP(relay_codec, takes_any_bytes, (const std::string& bytes)) {
    (void)decode_relay_update(bytes);
    (void)decode_lease_entry(bytes);
}

auto large_page() -> relay_update {
    auto page = relayed_page{coordination::shared_topic::backends, 5, 31, {}};
    for (auto number = 0; number < 26; ++number) {
        page.records_.push_back({"i-" + std::to_string(number),
                                 "{\"service\":\"chat\",\"models\":[" +
                                     std::string(400, 'm') + "]}",
                                 static_cast<std::uint64_t>(5 + number)});
    }
    auto update = relay_update{};
    update.pages_ = {page};
    return update;
}

// Nine changed servers of a deployment with 195 daemons were more than a daemon
// sent to its followers, so that all of them read the store.
TEST(relay_codec, page_of_similar_records_takes_their_whole_size) {
    const auto update = large_page();
    const auto bytes = encode(update);
    EXPECT_LT(bytes.size(), 3'000U);
    const auto read = decode_relay_update(bytes);
    ASSERT_TRUE(read);
    ASSERT_EQ(read->pages_.size(), 1U);
    EXPECT_FALSE(read->pages_[0].read_now_);
    ASSERT_EQ(read->pages_[0].records_.size(), 26U);
    EXPECT_EQ(read->pages_[0].records_[25].value_,
              update.pages_[0].records_[25].value_);
    EXPECT_EQ(read->pages_[0].records_[25].offset_, 30U);
}

// A daemon of an earlier version ignores packed records; it must not take the
// page for one without changes.
TEST(relay_codec, earlier_version_skips_packed_records) {
    auto message = wire::relay_update{};
    ASSERT_TRUE(message.ParseFromString(encode(large_page())));
    ASSERT_EQ(message.pages_size(), 1);
    EXPECT_TRUE(message.pages(0).read_now());
    EXPECT_EQ(message.pages(0).records_size(), 0);
}

TEST(relay_codec, damaged_packed_records_are_lost) {
    auto message = wire::relay_update{};
    ASSERT_TRUE(message.ParseFromString(encode(large_page())));
    for (const auto& damaged : {std::string{"x"}, std::string(40, '\xFF'),
                                message.pages(0).packed_records().substr(10)}) {
        message.mutable_pages(0)->set_packed_records(damaged);
        const auto read = decode_relay_update(message.SerializeAsString());
        ASSERT_TRUE(read);
        EXPECT_TRUE(read->pages_[0].read_now_);
        EXPECT_TRUE(read->pages_[0].records_.empty());
    }
}

// Guards against updates that grow where no organisation has a limit, and
// against reports of more than 30 bytes for each organisation.
TEST(relay_codec, carries_allowances) {
    auto update = relay_update{};
    const auto empty_size = encode(update).size();
    EXPECT_EQ(empty_size, 0U);
    const auto key = coordination::organisation_key_of("acme");
    update.allowance_report_ =
        coordination::allowance_report{7, {{key, 1e9, -1600, 4500}}};
    update.allowance_levels_ = {{key, -2500.4, 457'000}};
    const auto bytes = encode(update);
    EXPECT_LT(bytes.size(), 60U);
    const auto read = decode_relay_update(bytes);
    ASSERT_TRUE(read);
    ASSERT_TRUE(read->allowance_report_ && read->allowance_levels_);
    EXPECT_EQ(read->allowance_report_->run_, 7U);
    const auto& spending = read->allowance_report_->spending_.at(0);
    EXPECT_EQ(spending.organisation_, key);
    EXPECT_EQ(spending.total_, 1e9);
    EXPECT_EQ(spending.unreflected_, -1600);
    EXPECT_EQ(spending.refused_, 4500);
    EXPECT_EQ(read->allowance_levels_->at(0).organisation_, key);
    EXPECT_EQ(read->allowance_levels_->at(0).units_, -2500);
    EXPECT_EQ(read->allowance_levels_->at(0).demand_, 457'000);
    update.allowance_report_.reset();
    update.allowance_levels_.emplace();
    EXPECT_TRUE(decode_relay_update(encode(update))->allowance_levels_);
}

} // namespace
} // namespace basilstream::protocol
