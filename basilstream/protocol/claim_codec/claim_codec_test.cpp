#include "basilstream/protocol/claim_codec/claim_codec.hpp"

#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace basilstream::protocol {
namespace {

using namespace coordination;

const auto key = claim_key{"org", "service", "key"};
const auto answer = stored_answer{201, "text/plain", std::string{"a\0b", 3}};
const auto claim = claim_record{key, {1, 2}, "r1", {"d1", "boot"}, 9};

// Equal bytes mean equal fields: the encoding is deterministic.
TEST(claim_codec, keeps_every_field_of_records) {
    const auto records = std::vector<claim_log_record>{
        ownership_record{"d1/boot", 7, 8},
        ownership_record{"d1/boot", {}, 0},
        renewal_record{"d1/boot", 9, 3, milliseconds{1234}},
        release_record{9},
        claim,
        finish_record{key, "r1", answer, 9},
        finish_record{key, "r1", {}, 9},
        abandon_record{key, "r1", 9},
        carry_record{{{claim, 4, true}, {claim, 5, false}}, 40, 9},
        forget_record{30, 9}};
    for (const auto& record : records) {
        const auto bytes = encode(record);
        const auto decoded = decode_claim_record(bytes);
        EXPECT_EQ(decoded.index(), record.index());
        EXPECT_EQ(encode(decoded), bytes);
    }
    const auto finish = std::get<finish_record>(
        decode_claim_record(encode(claim_log_record{records[5]})));
    EXPECT_EQ(finish.answer_, answer);
    const auto carry =
        std::get<carry_record>(decode_claim_record(encode(records[8])));
    EXPECT_EQ(carry.claims_.front().origin_, 4U);
    EXPECT_EQ(carry.claims_.front().claim_.epoch_, 9U);
}

TEST(claim_codec, keeps_every_field_of_messages) {
    auto failure =
        error{error_code::outcome_unknown, step::claim,      "d2", "detail",
              run_status::unknown,         milliseconds{500}};
    const auto messages = std::vector<claim_message>{
        claim_request_message{key, {1, 2}, "r1", "boot"},
        claim_grant_message{"r1"},
        claim_refusal_message{"r1", failure},
        claim_refusal_message{"r1", answer},
        not_owner_message{"r1"},
        claim_result_message{key, "r1", true, answer},
        claim_result_message{key, "r1", false, {}},
        result_stored_message{"r1"},
        claim_query_message{key, "r1", "boot"},
        claim_state_message{key, "r1", dispatch_state::finished, answer},
        epoch_query_message{3, 9, 2},
        epoch_promise_message{3, 9, 2, 77}};
    for (const auto& message : messages) {
        const auto bytes = encode(message);
        const auto decoded = decode_claim_message(bytes);
        ASSERT_TRUE(decoded);
        EXPECT_EQ(decoded->index(), message.index());
        EXPECT_EQ(encode(*decoded), bytes);
    }
    const auto refusal = std::get<claim_refusal_message>(
        *decode_claim_message(encode(messages[2])));
    const auto& known = std::get<error>(refusal.answer_);
    EXPECT_EQ(known.to_string(), failure.to_string());
    EXPECT_EQ(known.run_, failure.run_);
    EXPECT_EQ(known.retry_after_, failure.retry_after_);
}

TEST(claim_codec, skips_what_it_does_not_know) {
    EXPECT_TRUE(std::holds_alternative<unknown_claim_record>(
        decode_claim_record("\xff torn")));
    EXPECT_TRUE(
        std::holds_alternative<unknown_claim_record>(decode_claim_record("")));
    EXPECT_FALSE(decode_claim_message("\xff torn"));
    EXPECT_FALSE(decode_claim_message(""));
}

} // namespace
} // namespace basilstream::protocol
