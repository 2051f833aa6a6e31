#include "basilstream/protocol/limit_codec/limit_codec.hpp"

#include <gtest/gtest.h>

namespace basilstream::protocol {
namespace {

using namespace coordination;

TEST(limit_codec, changes_and_checkpoints_survive_a_round_trip) {
    const auto change = limit_record{.action_ = limit_action::recover,
                                     .holder_ = "d1#1",
                                     .sequence_ = 9,
                                     .limit_ = "loads",
                                     .units_ = 3,
                                     .subject_ = "d2#1",
                                     .subject_sequence_ = 4};
    const auto again = decode_limit(encode_limit(change));
    ASSERT_TRUE(std::holds_alternative<limit_record>(again));
    EXPECT_EQ(std::get<limit_record>(again), change);

    auto ledger = limit_ledger{};
    ledger.set_limit("loads", 2);
    for (const auto* holder : {"d1#1", "d2#1"}) {
        EXPECT_TRUE(ledger.apply({.action_ = limit_action::acquire,
                                  .holder_ = holder,
                                  .sequence_ = 1,
                                  .limit_ = "loads",
                                  .units_ = 2}));
    }
    const auto read = decode_limit(encode_limit(limit_checkpoint{7, ledger}));
    ASSERT_TRUE(std::holds_alternative<limit_checkpoint>(read));
    const auto& checkpoint = std::get<limit_checkpoint>(read);
    EXPECT_EQ(checkpoint.at_offset_, 7U);
    EXPECT_EQ(checkpoint.ledger_.holders(), ledger.holders());
    EXPECT_EQ(checkpoint.ledger_.next_request_order(),
              ledger.next_request_order());
}

TEST(limit_codec, torn_and_foreign_bytes_are_skipped) {
    for (const auto* bytes : {"", "\xff\xff", "hello"}) {
        EXPECT_TRUE(
            std::holds_alternative<unknown_limit_record>(decode_limit(bytes)));
    }
}

} // namespace
} // namespace basilstream::protocol
