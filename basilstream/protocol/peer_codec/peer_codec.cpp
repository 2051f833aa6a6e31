#include "basilstream/protocol/peer_codec/peer_codec.hpp"

#include <utility>

#include "basilstream/protocol/generated/peer.pb.h"

namespace basilstream::protocol {
namespace {

using namespace coordination;

template <class Message>
auto parse(std::string_view bytes, Message& out) -> bool {
    return out.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
}

auto invalid(const char* detail) -> tl::unexpected<error> {
    return tl::unexpected(error{error_code::invalid_argument,
                                step::peer,
                                "",
                                detail,
                                run_status::not_run,
                                {}});
}

auto to_wire(const member& known, wire::member_entry& out) -> void {
    out.set_name(known.name_);
    out.set_peer_address(known.peer_address_);
    out.set_caller_address(known.caller_address_);
    out.set_zone(known.zone_);
    out.set_incarnation(known.incarnation_);
    out.set_state(static_cast<std::uint32_t>(known.state_));
}

auto from_wire(const wire::member_entry& in) -> member {
    return {in.name(),           in.peer_address(),
            in.caller_address(), in.zone(),
            in.incarnation(),    static_cast<member_state>(in.state())};
}

auto to_wire(const gossip_payload& payload, wire::gossip_entry& out) -> void {
    out.set_kind(static_cast<std::uint32_t>(payload.kind_));
    out.set_origin(payload.origin_);
    out.set_life(payload.process_nonce_);
    out.set_key(payload.key_);
    out.set_version(payload.version_);
    out.set_value(payload.bytes_);
}

auto from_wire(const wire::gossip_entry& in) -> gossip_payload {
    return {static_cast<payload_kind>(in.kind()),
            in.origin(),
            in.life(),
            in.key(),
            in.version(),
            in.value()};
}

// Values of a newer version must not become undefined enumerators.
auto known_values(const wire::membership_datagram& in) -> bool {
    if (in.kind() > static_cast<std::uint32_t>(probe_kind::sync_answer)) {
        return false;
    }
    for (const auto& entry : in.members()) {
        if (entry.state() > static_cast<std::uint32_t>(member_state::dead)) {
            return false;
        }
    }
    for (const auto& entry : in.payloads()) {
        if (entry.kind() > static_cast<std::uint32_t>(payload_kind::other)) {
            return false;
        }
    }
    return true;
}

} // namespace

auto encode(const peer_envelope& envelope) -> std::string {
    auto out = wire::peer_envelope{};
    out.set_channel(static_cast<std::uint32_t>(envelope.channel_));
    out.set_sender(envelope.sender_);
    out.set_payload(envelope.payload_);
    return out.SerializeAsString();
}

auto decode_envelope(std::string_view bytes) -> result<peer_envelope> {
    auto in = wire::peer_envelope{};
    const auto last = static_cast<std::uint32_t>(peer_channel::relay);
    if (!parse(bytes, in) || in.channel() > last) {
        return invalid("not a peer envelope");
    }
    return peer_envelope{static_cast<peer_channel>(in.channel()), in.sender(),
                         in.payload()};
}

auto encode(const membership_message& message) -> std::string {
    auto out = wire::membership_datagram{};
    out.set_kind(static_cast<std::uint32_t>(message.kind_));
    out.set_sequence(message.sequence_);
    out.set_sender(message.sender_);
    out.set_target(message.target_);
    out.set_digest(message.digest_);
    for (const auto& known : message.members_) {
        to_wire(known, *out.add_members());
    }
    for (const auto& payload : message.payloads_) {
        to_wire(payload, *out.add_payloads());
    }
    return out.SerializeAsString();
}

auto decode_membership(std::string_view bytes) -> result<membership_message> {
    auto in = wire::membership_datagram{};
    if (!parse(bytes, in) || !known_values(in)) {
        return invalid("not a membership message");
    }
    auto message = membership_message{static_cast<probe_kind>(in.kind()),
                                      in.sequence(),
                                      in.sender(),
                                      in.target(),
                                      in.digest(),
                                      {},
                                      {}};
    for (const auto& entry : in.members()) {
        message.members_.push_back(from_wire(entry));
    }
    for (const auto& entry : in.payloads()) {
        message.payloads_.push_back(from_wire(entry));
    }
    return message;
}

auto encode(const quarantine_suspicion& suspicion) -> std::string {
    auto out = wire::quarantine_suspicion{};
    out.set_organisation(suspicion.organisation_);
    out.set_model(suspicion.model_);
    out.set_fingerprint_high(suspicion.fingerprint_high_);
    out.set_fingerprint_low(suspicion.fingerprint_low_);
    out.set_runner(suspicion.runner_);
    out.set_crashes(suspicion.crashes_);
    out.set_lifted(suspicion.lifted_);
    return out.SerializeAsString();
}

auto decode_suspicion(std::string_view bytes) -> result<quarantine_suspicion> {
    auto in = wire::quarantine_suspicion{};
    if (!parse(bytes, in) || in.organisation().empty()) {
        return invalid("not a quarantine suspicion");
    }
    return quarantine_suspicion{
        in.organisation(),    in.model(),  in.fingerprint_high(),
        in.fingerprint_low(), in.runner(), in.crashes(),
        in.lifted()};
}

} // namespace basilstream::protocol
