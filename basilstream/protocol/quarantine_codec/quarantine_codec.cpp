#include "basilstream/protocol/quarantine_codec/quarantine_codec.hpp"

#include <algorithm>

#include "basilstream/protocol/generated/quarantine.pb.h"

namespace basilstream::protocol {
namespace {

using namespace coordination;

// Bound of a count that is read. The lifetime of a mark is at its limit long
// before.
constexpr auto max_trials = std::uint32_t{1000};

auto milliseconds_of(duration value) -> std::uint64_t {
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(value).count());
}

auto fill(wire::crash_mark& target, const suspicion& source) -> void {
    target.set_fingerprint_high(source.fingerprint_.high_);
    target.set_fingerprint_low(source.fingerprint_.low_);
    target.set_runner(source.runner_);
    target.set_boot_id(source.boot_id_);
    target.set_isolated(source.isolated_);
    target.set_age_ms(milliseconds_of(source.age_));
    target.set_connection_lost(source.evidence_ ==
                               crash_evidence::connection_lost);
    target.set_run_id(source.run_id_);
    if (source.ran_for_) {
        target.set_ran_ms(milliseconds_of(*source.ran_for_));
    }
}

auto read(const wire::crash_mark& source) -> suspicion {
    auto result =
        suspicion{{source.fingerprint_high(), source.fingerprint_low()},
                  source.runner(),
                  source.boot_id(),
                  milliseconds{source.age_ms()},
                  source.isolated()};
    if (source.connection_lost()) {
        result.evidence_ = crash_evidence::connection_lost;
    }
    result.run_id_ = source.run_id();
    if (source.has_ran_ms()) {
        result.ran_for_ = milliseconds{source.ran_ms()};
    }
    return result;
}

template <class List>
auto read_crashes(const List& source) {
    auto crashes = std::vector<suspicion>{};
    for (const auto& crash : source) {
        crashes.push_back(read(crash));
    }
    return crashes;
}

// Writes each kind into its field.
struct writer {
    auto operator()(const suspicion& source) const -> void {
        fill(*target_.mutable_suspicion(), source);
    }
    auto operator()(const clearance& source) const -> void {
        auto& body = *target_.mutable_clearance();
        body.set_fingerprint_high(source.fingerprint_.high_);
        body.set_fingerprint_low(source.fingerprint_.low_);
        for (const auto& crash : source.crashes_) {
            fill(*body.add_crashes(), crash);
        }
    }
    auto operator()(const isolation_request& source) const -> void {
        auto& body = *target_.mutable_ask();
        body.set_fingerprint_high(source.run_.fingerprint_.high_);
        body.set_fingerprint_low(source.run_.fingerprint_.low_);
        body.set_request_id(source.run_.request_id_);
        body.set_runner(source.run_.runner_);
        body.set_boot_id(source.run_.boot_id_);
        body.set_holder(source.holder_);
        body.set_renewal(source.renewal_);
        for (const auto& crash : source.crashes_) {
            fill(*body.add_crashes(), crash);
        }
    }
    auto operator()(const isolation_answer& source) const -> void {
        auto& body = *target_.mutable_reply();
        body.set_request_id(source.request_id_);
        body.set_refusal(source.refusal_
                             ? static_cast<std::uint32_t>(*source.refusal_) + 1
                             : 0);
        body.set_retry_after_ms(
            static_cast<std::uint64_t>(source.retry_after_.count()));
    }
    auto operator()(const isolation_release& source) const -> void {
        target_.mutable_end()->set_request_id(source.request_id_);
        target_.mutable_end()->set_crashed(source.crashed_);
    }
    auto operator()(const quarantine_mark& source) const -> void {
        auto& body = *target_.mutable_mark();
        body.set_fingerprint_high(source.fingerprint_.high_);
        body.set_fingerprint_low(source.fingerprint_.low_);
        for (const auto& runner : source.runners_) {
            body.add_runners(runner);
        }
        body.set_confirmed(source.confirmed_);
        body.set_age_ms(milliseconds_of(source.age_));
        body.set_failed_trials(
            static_cast<std::uint32_t>(source.failed_trials_));
    }
    auto operator()(const prompt_crash& source) const -> void {
        auto& body = *target_.mutable_prompt_crash();
        body.set_runner(source.runner_);
        body.set_boot_id(source.boot_id_);
        body.set_age_ms(milliseconds_of(source.age_));
        body.mutable_parts()->Add(source.parts_.begin(), source.parts_.end());
    }
    auto operator()(const prompt_crash_refutation& source) const -> void {
        auto& body = *target_.mutable_prompt_crash_refutation();
        body.set_runner(source.runner_);
        body.set_boot_id(source.boot_id_);
    }
    auto operator()(const prompt_part_clearance& source) const -> void {
        target_.mutable_prompt_part_clearance()->mutable_parts()->Add(
            source.parts_.begin(), source.parts_.end());
    }
    auto operator()(const prompt_part_mark& source) const -> void {
        auto& body = *target_.mutable_prompt_part_mark();
        body.set_part(source.part_);
        body.set_age_ms(milliseconds_of(source.age_));
        body.set_ambiguous(source.ambiguous_);
        body.set_failed_trials(
            static_cast<std::uint32_t>(source.failed_trials_));
    }
    auto operator()(const prompt_part_release& source) const -> void {
        target_.mutable_prompt_part_release()->set_part(source.part_);
    }
    wire::quarantine_message& target_;
};

// Returns a message about parts of prompts, if it is one.
auto read_prompt_message(const wire::quarantine_message& source)
    -> std::optional<quarantine_message> {
    if (source.has_prompt_crash()) {
        const auto& body = source.prompt_crash();
        return prompt_crash{body.runner(),
                            body.boot_id(),
                            milliseconds{body.age_ms()},
                            {body.parts().begin(), body.parts().end()}};
    }
    if (source.has_prompt_crash_refutation()) {
        const auto& body = source.prompt_crash_refutation();
        return prompt_crash_refutation{body.runner(), body.boot_id()};
    }
    if (source.has_prompt_part_clearance()) {
        const auto& parts = source.prompt_part_clearance().parts();
        return prompt_part_clearance{{parts.begin(), parts.end()}};
    }
    if (source.has_prompt_part_mark()) {
        const auto& body = source.prompt_part_mark();
        return prompt_part_mark{
            body.part(), milliseconds{body.age_ms()}, body.ambiguous(),
            static_cast<int>(std::min(body.failed_trials(), max_trials))};
    }
    if (source.has_prompt_part_release()) {
        return prompt_part_release{source.prompt_part_release().part()};
    }
    return std::nullopt;
}

auto read_mark(const wire::mark& source) -> quarantine_mark {
    return {{source.fingerprint_high(), source.fingerprint_low()},
            {source.runners().begin(), source.runners().end()},
            source.confirmed(),
            milliseconds{source.age_ms()},
            static_cast<int>(std::min(source.failed_trials(), max_trials))};
}

auto read_ask(const wire::isolation_ask& source) -> isolation_request {
    return {{{source.fingerprint_high(), source.fingerprint_low()},
             source.request_id(),
             source.runner(),
             source.boot_id()},
            source.holder(),
            read_crashes(source.crashes()),
            source.renewal()};
}

auto read_reply(const wire::isolation_reply& source)
    -> std::optional<isolation_answer> {
    constexpr auto last =
        static_cast<std::uint32_t>(isolation_refusal::runner_busy) + 1;
    if (source.refusal() > last) {
        return std::nullopt;
    }
    auto answer = isolation_answer{};
    answer.request_id_ = source.request_id();
    answer.retry_after_ = milliseconds{source.retry_after_ms()};
    if (source.refusal() > 0) {
        answer.refusal_ = static_cast<isolation_refusal>(source.refusal() - 1);
    }
    return answer;
}

auto read_message(const wire::quarantine_message& source)
    -> std::optional<quarantine_message> {
    if (source.has_suspicion()) {
        return read(source.suspicion());
    }
    if (source.has_clearance()) {
        const auto& body = source.clearance();
        return clearance{{body.fingerprint_high(), body.fingerprint_low()},
                         read_crashes(body.crashes())};
    }
    if (source.has_ask()) {
        return read_ask(source.ask());
    }
    if (source.has_reply()) {
        if (auto answer = read_reply(source.reply())) {
            return *answer;
        }
    }
    if (source.has_end()) {
        return isolation_release{source.end().request_id(),
                                 source.end().crashed()};
    }
    if (source.has_mark()) {
        return read_mark(source.mark());
    }
    return read_prompt_message(source);
}

} // namespace

auto encode_quarantine(const quarantine_message& message) -> std::string {
    auto target = wire::quarantine_message{};
    std::visit(writer{target}, message);
    return target.SerializeAsString();
}

auto decode_quarantine(std::string_view bytes) -> result<quarantine_message> {
    auto source = wire::quarantine_message{};
    if (source.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        if (auto message = read_message(source)) {
            return std::move(*message);
        }
    }
    return tl::unexpected(error{error_code::invalid_argument,
                                step::peer,
                                {},
                                "not a quarantine message"});
}

auto encode_quarantine(const quarantine_record& record) -> std::string {
    auto target = wire::quarantine_record{};
    target.set_written_at_unix_ms(milliseconds_of(record.written_at_));
    for (const auto& message : record.messages_) {
        std::visit(writer{*target.add_messages()}, message);
    }
    return target.SerializeAsString();
}

auto decode_quarantine_record(std::string_view bytes)
    -> result<quarantine_record> {
    auto source = wire::quarantine_record{};
    if (!source.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return tl::unexpected(error{error_code::invalid_argument,
                                    step::log,
                                    {},
                                    "not a quarantine record"});
    }
    auto record =
        quarantine_record{milliseconds{source.written_at_unix_ms()}, {}};
    for (const auto& item : source.messages()) {
        if (auto message = read_message(item)) {
            record.messages_.push_back(std::move(*message));
        }
    }
    return record;
}

} // namespace basilstream::protocol
