#include "basilstream/protocol/record_codec/record_codec.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "basilstream/coordination/log_client/log_client.hpp"
#include "basilstream/protocol/generated/record.pb.h"
#include "testing/state_sample/state_sample.hpp"

namespace basilstream::protocol {
namespace {

using namespace state;

auto samples() -> std::vector<record> {
    const auto id = record_id{1, 2};
    const auto key = resident_key{"o/m", "a", "v"};
    const auto intent = order_intent{
        "s", 3, "r", "b", order_action::set_role, key, 5, runner_role::decode};
    const auto held = resident{key, 5, resident_state::failed, id};
    const auto model = model_resource{"o", "m", {"v1", "v2"}, -3, {"z"}, 7, 2};
    return {
        resource_put{organisation_resource{"o", {"ab"}, 2, 0.5, {{"k", "v"}}},
                     4},
        resource_put{model, 4},
        resource_put{adapter_resource{"o", "a", "m", 1, 6, 2}, 4},
        resource_put{service_resource{"o", "s", 1, {"z"}, {"POST"}}, 4},
        resource_delete{{resource_kind::adapter, "o/m/a"}, 4},
        shard_claim{"s", "d", 9},
        shard_renewal{"s", 9},
        shard_release{"s", 9},
        intent,
        order_outcome{"s", 9, id, order_result::failed_resident, "why"},
        runner_boot{"s", 9, "r", "1.2.3.4:5", "z", "b2", "b1", 100},
        runner_gone{"s", 9, "r", "b"},
        resident_seen{"s", 9, "r", "b", key, 8},
        quarantine_mark{"ff", "o", "o/m", "why", 12},
        quarantine_lift{"ff"},
        format_level{2},
        snapshot_part{id,
                      7,
                      1,
                      2,
                      99,
                      {resource_item{model, 3}, shard_item{"s", 1, "d"},
                       runner_item{"r",
                                   "s",
                                   "1.2.3.4:5",
                                   "z",
                                   "b",
                                   100,
                                   runner_role::prefill,
                                   true,
                                   6,
                                   {held}},
                       order_item{id, intent},
                       quarantine_item{{"ff", "o", "o/m", "why", 12}},
                       recent_ids_item{{1, 2}, {id, {3, 4}}}, format_item{1}}}};
}

TEST(record_codec, gives_back_every_kind) {
    for (const auto& body : samples()) {
        const auto payload = encode_record({{7, 8}, 5, body});
        const auto read = decode_record(payload);
        ASSERT_TRUE(read.has_value());
        EXPECT_EQ(read->id_, (record_id{7, 8}));
        EXPECT_EQ(read->written_at_, 5U);
        EXPECT_EQ(read->body_.index(), body.index());
        EXPECT_EQ(encode_record(*read), payload);
    }
}

TEST(record_codec, keeps_the_fields_of_a_snapshot) {
    const auto body = samples().back();
    const auto read = decode_record(encode_record({{7, 8}, 5, body}));
    const auto& part = std::get<snapshot_part>(read->body_);
    const auto& runner = std::get<runner_item>(part.items_.at(2));
    EXPECT_TRUE(runner.gone_);
    EXPECT_EQ(runner.boot_offset_, 6U);
    EXPECT_EQ(runner.residents_.at(0).state_, resident_state::failed);
    EXPECT_EQ(std::get<recent_ids_item>(part.items_.at(5)).ids_.size(), 2U);
}

TEST(record_codec, gives_unknown_kinds_and_values_a_type) {
    auto message = wire::control::envelope{};
    message.mutable_id()->set_low(1);
    message.GetReflection()->MutableUnknownFields(&message)->AddLengthDelimited(
        77, "newer");
    const auto kind = decode_record(message.SerializeAsString());
    EXPECT_TRUE(std::holds_alternative<unknown_record>(kind->body_));
    message.mutable_order_intent()->set_action(42);
    const auto action = decode_record(message.SerializeAsString());
    EXPECT_TRUE(std::holds_alternative<unknown_record>(action->body_));
}

// Target: 3 KB a second for all control of a daemon, which reads the whole
// control stream. Half of it is left to membership and the rest.
TEST(record_codec, reading_the_stream_takes_half_of_the_control_budget) {
    constexpr auto target_runners = std::size_t{1700};
    constexpr auto budget_bytes_per_second = 3000.0 / 2;
    constexpr auto framing_bytes = 12.0;
    constexpr auto read_call_bytes_per_second = 350.0;
    constexpr auto records_per_restart = 9.0;
    constexpr auto seconds_per_day = 86400.0;
    const auto sample = basilstream::testing::state_sample{target_runners};
    auto random = seeded_random{1};
    auto snapshot_bytes = std::size_t{0};
    for (auto& part : coordination::make_snapshot(sample.replay(), random,
                                                  std::size_t{1} << 18U)) {
        snapshot_bytes += encode_record({{1, 2}, 0, std::move(part)}).size();
    }
    const auto late = log_offset{1} << 40U;
    const auto size_of = [&](record body) {
        return static_cast<double>(
                   encode_record({{1, 2}, late, std::move(body)}).size()) +
               framing_bytes;
    };
    const auto shards = 19.0;
    const auto renewals =
        shards / 2 * size_of(shard_renewal{"region-1-zone-12", late});
    const auto changes =
        1100 / seconds_per_day *
        size_of(resource_put{
            model_resource{"organisation", "model", {"v1"}, 0, {}, 1, 1},
            late});
    const auto restarts =
        (36 + 450) * records_per_restart / seconds_per_day *
        size_of(order_intent{"region-1-zone-12",
                             late,
                             "runner-1234",
                             "boot",
                             order_action::load_model,
                             {"organisation/model", "adapter", "v1"},
                             late,
                             {}});
    const auto snapshot_period =
        std::chrono::duration<double>(coordination::snapshot_options{}.every_);
    const auto sum =
        renewals + changes + restarts +
        static_cast<double>(snapshot_bytes) / snapshot_period.count() +
        read_call_bytes_per_second;
    EXPECT_LE(sum, budget_bytes_per_second);
    RecordProperty("bytes_per_second", std::to_string(sum));
    std::printf("control stream: %.0f bytes a second\n", sum);
}

RC_GTEST_PROP(record_codec, survives_torn_and_foreign_bytes,
              (const std::string& noise, std::uint16_t cut)) {
    std::ignore = decode_record(noise);
    const auto all = samples();
    const auto payload = encode_record({{7, 8}, 5, all[cut % all.size()]});
    std::ignore = decode_record(payload.substr(0, cut % payload.size()));
}

} // namespace
} // namespace basilstream::protocol
