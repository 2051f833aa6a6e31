#include "basilstream/protocol/quarantine_codec/quarantine_codec.hpp"

#include <gtest/gtest.h>

namespace basilstream::protocol {
namespace {

using namespace coordination;

TEST(quarantine_codec, every_message_survives_a_round_trip) {
    const auto print = fingerprint{7, 9};
    const auto crash = suspicion{print,
                                 "r1",
                                 "b1",
                                 milliseconds{1500},
                                 true,
                                 milliseconds{40},
                                 crash_evidence::connection_lost,
                                 "d1/7"};
    const auto messages = std::vector<quarantine_message>{
        crash,
        clearance{print, {crash}},
        isolation_request{{print, "q", "r2", "b2"}, "d1", {crash}, true},
        isolation_answer{"q", {}, milliseconds{0}},
        isolation_answer{"q", isolation_refusal::runner_busy,
                         milliseconds{250}},
        isolation_release{"q", true},
        quarantine_mark{print, {"r1", "r2"}, false, seconds{3}, 2},
        prompt_crash{"r1", "b1", milliseconds{70}, {1, ~0ULL}},
        prompt_crash_refutation{"r1", "b1"},
        prompt_part_clearance{{3, 4}},
        prompt_part_mark{7, milliseconds{90}, true, 1},
        prompt_part_release{7}};
    for (const auto& message : messages) {
        const auto bytes = encode_quarantine(message);
        const auto again = decode_quarantine(bytes);
        ASSERT_TRUE(again);
        EXPECT_EQ(again->index(), message.index());
        EXPECT_EQ(encode_quarantine(*again), bytes);
    }
    const auto ask = std::get<isolation_request>(
        *decode_quarantine(encode_quarantine(messages[2])));
    EXPECT_EQ(ask.run_.fingerprint_, print);
    EXPECT_EQ(ask.crashes_.front().age_, milliseconds{1500});
    EXPECT_TRUE(ask.crashes_.front().isolated_);
    EXPECT_EQ(ask.crashes_.front().ran_for_, milliseconds{40});
    EXPECT_EQ(ask.crashes_.front().evidence_, crash_evidence::connection_lost);
    EXPECT_EQ(ask.crashes_.front().run_id_, "d1/7");
    const auto answer = std::get<isolation_answer>(
        *decode_quarantine(encode_quarantine(messages[4])));
    EXPECT_EQ(answer.refusal_, isolation_refusal::runner_busy);
    EXPECT_EQ(answer.retry_after_, milliseconds{250});
}

TEST(quarantine_codec, record_survives_a_round_trip) {
    const auto print = fingerprint{7, 9};
    const auto record = quarantine_record{
        milliseconds{1'800'000'000'000},
        {suspicion{print, "r1", "b1", milliseconds{1500}},
         quarantine_mark{print, {"r1", "r2"}, false, seconds{3}, 2}}};
    const auto again = decode_quarantine_record(encode_quarantine(record));
    ASSERT_TRUE(again);
    EXPECT_EQ(again->written_at_, record.written_at_);
    ASSERT_EQ(again->messages_.size(), 2U);
    const auto& mark = std::get<quarantine_mark>(again->messages_[1]);
    EXPECT_EQ(mark.fingerprint_, print);
    EXPECT_EQ(mark.runners_.size(), 2U);
    EXPECT_EQ(mark.age_, seconds{3});
    EXPECT_EQ(mark.failed_trials_, 2);
    EXPECT_FALSE(decode_quarantine_record("\xff\xff\xff"));
}

TEST(quarantine_codec, foreign_bytes_are_refused) {
    EXPECT_FALSE(decode_quarantine(""));
    EXPECT_FALSE(decode_quarantine("\xff\xff\xff"));
}

} // namespace
} // namespace basilstream::protocol
