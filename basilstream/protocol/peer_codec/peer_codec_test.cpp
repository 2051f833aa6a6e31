#include "basilstream/protocol/peer_codec/peer_codec.hpp"

#include <gtest/gtest.h>

namespace basilstream::protocol {
namespace {

using namespace coordination;

TEST(peer_codec, keeps_every_field) {
    const auto message = membership_message{
        probe_kind::indirect_probe,
        7,
        "d1",
        "127.0.0.1:9",
        0x12345678,
        {{"d2", "127.0.0.1:1", "127.0.0.1:2", "a", 3, member_state::suspect}},
        {{payload_kind::runner_leaving, "d2", 9, "r", 4, "bytes"}}};
    const auto decoded = decode_membership(encode(message));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->kind_, message.kind_);
    EXPECT_EQ(decoded->sequence_, message.sequence_);
    EXPECT_EQ(decoded->sender_, message.sender_);
    EXPECT_EQ(decoded->target_, message.target_);
    EXPECT_EQ(decoded->digest_, message.digest_);
    EXPECT_EQ(decoded->members_, message.members_);
    EXPECT_EQ(decoded->payloads_, message.payloads_);
}

TEST(peer_codec, keeps_envelopes_and_suspicions) {
    const auto envelope = decode_envelope(
        encode(peer_envelope{peer_channel::claims, "d1", "payload"}));
    ASSERT_TRUE(envelope);
    EXPECT_EQ(envelope->channel_, peer_channel::claims);
    EXPECT_EQ(envelope->sender_, "d1");
    EXPECT_EQ(envelope->payload_, "payload");
    const auto suspicion = decode_suspicion(
        encode(quarantine_suspicion{"org", "m", 1, 2, "runner", 2, true}));
    ASSERT_TRUE(suspicion);
    EXPECT_EQ(suspicion->fingerprint_low_, 2U);
    EXPECT_EQ(suspicion->runner_, "runner");
    EXPECT_TRUE(suspicion->lifted_);
}

TEST(peer_codec, refuses_what_it_does_not_know) {
    auto newer = membership_message{};
    newer.kind_ = static_cast<probe_kind>(99);
    EXPECT_FALSE(decode_membership(encode(newer)));
    EXPECT_FALSE(decode_membership("\xff torn"));
    EXPECT_FALSE(decode_envelope("\xff torn"));
    EXPECT_FALSE(decode_suspicion(""));
}

} // namespace
} // namespace basilstream::protocol
