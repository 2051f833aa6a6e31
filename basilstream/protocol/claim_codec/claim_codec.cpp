#include "basilstream/protocol/claim_codec/claim_codec.hpp"

#include <algorithm>
#include <utility>

#include "basilstream/protocol/generated/claim.pb.h"

namespace basilstream::protocol {
namespace {

using namespace coordination;

auto to_wire(const claim_key& key, wire::claim_key& out) -> void {
    out.set_organisation(key.organisation_);
    out.set_service(key.service_);
    out.set_key(key.key_);
}

auto from_wire(const wire::claim_key& in) -> claim_key {
    return {in.organisation(), in.service(), in.key()};
}

auto to_wire(const stored_answer& answer, wire::claim_answer& out) -> void {
    out.set_status(answer.status_);
    out.set_content_type(answer.content_type_);
    out.set_body(answer.body_);
}

auto from_wire(const wire::claim_answer& in) -> stored_answer {
    return {in.status(), in.content_type(), in.body()};
}

// Answers are optional in several messages of the schema.
template <class Message>
auto answer_of(const Message& in) -> std::optional<stored_answer> {
    if (!in.has_answer()) {
        return std::nullopt;
    }
    return from_wire(in.answer());
}

template <class Message>
auto set_answer(const std::optional<stored_answer>& answer, Message& out)
    -> void {
    if (answer) {
        to_wire(*answer, *out.mutable_answer());
    }
}

auto to_wire(const claim_record& claim, wire::claim_fields& out) -> void {
    to_wire(claim.key_, *out.mutable_key());
    out.set_fingerprint_high(claim.fingerprint_.high_);
    out.set_fingerprint_low(claim.fingerprint_.low_);
    out.set_request_id(claim.request_id_);
    out.set_dispatcher(claim.dispatcher_.name_);
    out.set_boot_id(claim.dispatcher_.boot_id_);
}

auto from_wire(const wire::claim_fields& in, std::uint64_t epoch)
    -> claim_record {
    return {from_wire(in.key()),
            {in.fingerprint_high(), in.fingerprint_low()},
            in.request_id(),
            {in.dispatcher(), in.boot_id()},
            epoch};
}

auto to_wire(const error& failure, wire::claim_error& out) -> void {
    out.set_code(std::string{error_code_names.name_of(failure.code_)});
    out.set_step(std::string{step_names.name_of(failure.step_)});
    out.set_peer(failure.peer_);
    out.set_detail(failure.detail_);
    out.set_run(std::string{run_status_names.name_of(failure.run_)});
    if (failure.retry_after_) {
        out.set_retry_after_ms(failure.retry_after_->count());
    }
}

// Names that this version does not know fall back to the cautious value.
auto from_wire(const wire::claim_error& in) -> error {
    auto failure = error{};
    failure.code_ =
        error_code_names.parse(in.code()).value_or(error_code::internal);
    failure.step_ = step_names.parse(in.step()).value_or(step::claim);
    failure.peer_ = in.peer();
    failure.detail_ = in.detail();
    failure.run_ =
        run_status_names.parse(in.run()).value_or(run_status::unknown);
    if (in.has_retry_after_ms()) {
        failure.retry_after_ = milliseconds{in.retry_after_ms()};
    }
    return failure;
}

auto write(const unknown_claim_record& /*record*/,
           wire::claim_log_record& /*out*/) -> void {}

auto write(const ownership_record& record, wire::claim_log_record& out)
    -> void {
    auto& take = *out.mutable_take();
    take.set_owner(record.owner_);
    take.set_last_seen(record.last_seen_);
    if (record.previous_epoch_) {
        take.set_previous_epoch(*record.previous_epoch_);
    }
}

auto write(const renewal_record& record, wire::claim_log_record& out) -> void {
    out.set_epoch(record.epoch_);
    auto& renew = *out.mutable_renew();
    renew.set_owner(record.owner_);
    renew.set_sequence(record.sequence_);
    renew.set_written_at_ms(
        std::chrono::duration_cast<milliseconds>(record.written_at_).count());
}

auto write(const release_record& record, wire::claim_log_record& out) -> void {
    out.set_epoch(record.epoch_);
    out.mutable_give_up();
}

auto write(const claim_record& record, wire::claim_log_record& out) -> void {
    out.set_epoch(record.epoch_);
    to_wire(record, *out.mutable_claim());
}

auto write(const finish_record& record, wire::claim_log_record& out) -> void {
    out.set_epoch(record.epoch_);
    auto& end = *out.mutable_end();
    to_wire(record.key_, *end.mutable_key());
    end.set_request_id(record.request_id_);
    set_answer(record.answer_, end);
}

auto write(const abandon_record& record, wire::claim_log_record& out) -> void {
    out.set_epoch(record.epoch_);
    auto& undo = *out.mutable_undo();
    to_wire(record.key_, *undo.mutable_key());
    undo.set_request_id(record.request_id_);
}

auto write(const carry_record& record, wire::claim_log_record& out) -> void {
    out.set_epoch(record.epoch_);
    auto& keep = *out.mutable_keep();
    keep.set_built_at(record.built_at_);
    for (const auto& carried : record.claims_) {
        auto& claim = *keep.add_claims();
        to_wire(carried.claim_, claim);
        claim.set_origin(carried.origin_);
        claim.set_finished(carried.finished_);
    }
}

auto write(const forget_record& record, wire::claim_log_record& out) -> void {
    out.set_epoch(record.epoch_);
    out.mutable_drop()->set_below_offset(record.below_offset_);
}

auto read_ownership(const wire::claim_log_record::ownership& in)
    -> ownership_record {
    auto record = ownership_record{in.owner(), {}, in.last_seen()};
    if (in.has_previous_epoch()) {
        record.previous_epoch_ = in.previous_epoch();
    }
    return record;
}

auto read_carry(const wire::claim_log_record& in) -> carry_record {
    auto record = carry_record{{}, in.keep().built_at(), in.epoch()};
    for (const auto& claim : in.keep().claims()) {
        record.claims_.push_back(
            {from_wire(claim, in.epoch()), claim.origin(), claim.finished()});
    }
    return record;
}

auto read_record(const wire::claim_log_record& in) -> claim_log_record {
    using wire_record = wire::claim_log_record;
    const auto epoch = in.epoch();
    switch (in.kind_case()) {
    case wire_record::kTake:
        return read_ownership(in.take());
    case wire_record::kRenew:
        return renewal_record{in.renew().owner(), epoch, in.renew().sequence(),
                              milliseconds{in.renew().written_at_ms()}};
    case wire_record::kGiveUp:
        return release_record{epoch};
    case wire_record::kClaim:
        return from_wire(in.claim(), epoch);
    case wire_record::kEnd:
        return finish_record{from_wire(in.end().key()), in.end().request_id(),
                             answer_of(in.end()), epoch};
    case wire_record::kUndo:
        return abandon_record{from_wire(in.undo().key()),
                              in.undo().request_id(), epoch};
    case wire_record::kKeep:
        return read_carry(in);
    case wire_record::kDrop:
        return forget_record{in.drop().below_offset(), epoch};
    case wire_record::KIND_NOT_SET:
        break;
    }
    return unknown_claim_record{};
}

auto write(const claim_request_message& message, wire::claim_message& out)
    -> void {
    auto& request = *out.mutable_request();
    to_wire(message.key_, *request.mutable_key());
    request.set_fingerprint_high(message.fingerprint_.high_);
    request.set_fingerprint_low(message.fingerprint_.low_);
    request.set_request_id(message.request_id_);
    request.set_boot_id(message.boot_id_);
}

auto write(const claim_grant_message& message, wire::claim_message& out)
    -> void {
    out.mutable_granted()->set_request_id(message.request_id_);
}

auto write(const claim_refusal_message& message, wire::claim_message& out)
    -> void {
    auto& refused = *out.mutable_refused();
    refused.set_request_id(message.request_id_);
    if (const auto* failure = std::get_if<error>(&message.answer_)) {
        to_wire(*failure, *refused.mutable_error());
    } else {
        to_wire(std::get<stored_answer>(message.answer_),
                *refused.mutable_stored());
    }
}

auto write(const not_owner_message& message, wire::claim_message& out) -> void {
    out.mutable_redirect()->set_request_id(message.request_id_);
}

auto write(const claim_result_message& message, wire::claim_message& out)
    -> void {
    auto& ended = *out.mutable_ended();
    to_wire(message.key_, *ended.mutable_key());
    ended.set_request_id(message.request_id_);
    ended.set_dispatched(message.dispatched_);
    set_answer(message.answer_, ended);
}

auto write(const result_stored_message& message, wire::claim_message& out)
    -> void {
    out.mutable_recorded()->set_request_id(message.request_id_);
}

auto write(const claim_query_message& message, wire::claim_message& out)
    -> void {
    auto& ask = *out.mutable_ask();
    to_wire(message.key_, *ask.mutable_key());
    ask.set_request_id(message.request_id_);
    ask.set_boot_id(message.boot_id_);
}

auto write(const claim_state_message& message, wire::claim_message& out)
    -> void {
    auto& tell = *out.mutable_tell();
    to_wire(message.key_, *tell.mutable_key());
    tell.set_request_id(message.request_id_);
    tell.set_state(static_cast<std::uint32_t>(message.state_));
    set_answer(message.answer_, tell);
}

auto write(const epoch_query_message& message, wire::claim_message& out)
    -> void {
    auto& query = *out.mutable_epoch_query();
    query.set_shard(message.shard_);
    query.set_epoch(message.epoch_);
    query.set_round(message.round_);
}

auto write(const epoch_promise_message& message, wire::claim_message& out)
    -> void {
    auto& promise = *out.mutable_epoch_promise();
    promise.set_shard(message.shard_);
    promise.set_epoch(message.newest_epoch_);
    promise.set_round(message.round_);
    promise.set_members_digest(message.members_digest_);
}

auto read_request(const wire::claim_fields& in) -> claim_request_message {
    return {from_wire(in.key()),
            {in.fingerprint_high(), in.fingerprint_low()},
            in.request_id(),
            in.boot_id()};
}

auto read_refusal(const wire::claim_message::refusal& in)
    -> claim_refusal_message {
    if (in.has_stored()) {
        return {in.request_id(), from_wire(in.stored())};
    }
    return {in.request_id(), from_wire(in.error())};
}

// A state that this version does not know counts as unknown.
auto read_state(const wire::claim_message::state& in) -> claim_state_message {
    const auto largest = static_cast<std::uint32_t>(dispatch_state::unknown);
    const auto state =
        static_cast<dispatch_state>(std::min(in.state(), largest));
    return {from_wire(in.key()), in.request_id(), state, answer_of(in)};
}

auto read_message(const wire::claim_message& in)
    -> std::optional<claim_message> {
    using wire_message = wire::claim_message;
    switch (in.kind_case()) {
    case wire_message::kRequest:
        return read_request(in.request());
    case wire_message::kGranted:
        return claim_grant_message{in.granted().request_id()};
    case wire_message::kRefused:
        return read_refusal(in.refused());
    case wire_message::kRedirect:
        return not_owner_message{in.redirect().request_id()};
    case wire_message::kEnded:
        return claim_result_message{
            from_wire(in.ended().key()), in.ended().request_id(),
            in.ended().dispatched(), answer_of(in.ended())};
    case wire_message::kRecorded:
        return result_stored_message{in.recorded().request_id()};
    case wire_message::kAsk:
        return claim_query_message{from_wire(in.ask().key()),
                                   in.ask().request_id(), in.ask().boot_id()};
    case wire_message::kTell:
        return read_state(in.tell());
    case wire_message::kEpochQuery:
        return epoch_query_message{in.epoch_query().shard(),
                                   in.epoch_query().epoch(),
                                   in.epoch_query().round()};
    case wire_message::kEpochPromise:
        return epoch_promise_message{
            in.epoch_promise().shard(), in.epoch_promise().epoch(),
            in.epoch_promise().round(), in.epoch_promise().members_digest()};
    case wire_message::KIND_NOT_SET:
        break;
    }
    return std::nullopt;
}

} // namespace

auto encode(const claim_log_record& record) -> std::string {
    auto out = wire::claim_log_record{};
    std::visit([&](const auto& typed) { write(typed, out); }, record);
    return out.SerializeAsString();
}

auto decode_claim_record(std::string_view bytes) -> claim_log_record {
    auto in = wire::claim_log_record{};
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return unknown_claim_record{};
    }
    return read_record(in);
}

auto encode(const claim_message& message) -> std::string {
    auto out = wire::claim_message{};
    std::visit([&](const auto& typed) { write(typed, out); }, message);
    return out.SerializeAsString();
}

auto decode_claim_message(std::string_view bytes) -> result<claim_message> {
    auto in = wire::claim_message{};
    if (in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        if (auto message = read_message(in)) {
            return *std::move(message);
        }
    }
    return tl::unexpected(error{error_code::invalid_argument,
                                step::peer,
                                "",
                                "not a claim message",
                                run_status::not_run,
                                {}});
}

} // namespace basilstream::protocol
