#include "basilstream/protocol/quarantine_codec/quarantine_codec.hpp"

#include "basilstream/protocol/generated/quarantine.pb.h"

namespace basilstream::protocol {
namespace {

using namespace coordination;

auto fill(wire::crash_mark& target, const suspicion& source) -> void {
    target.set_fingerprint_high(source.fingerprint_.high_);
    target.set_fingerprint_low(source.fingerprint_.low_);
    target.set_runner(source.runner_);
    target.set_boot_id(source.boot_id_);
    target.set_isolated(source.isolated_);
    target.set_age_ms(static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(source.age_).count()));
    target.set_connection_lost(source.evidence_ ==
                               crash_evidence::connection_lost);
    target.set_run_id(source.run_id_);
    if (source.ran_for_) {
        target.set_ran_ms(static_cast<std::uint64_t>(
            std::chrono::duration_cast<milliseconds>(*source.ran_for_)
                .count()));
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
    wire::quarantine_message& target_;
};

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

} // namespace

auto encode_quarantine(const quarantine_message& message) -> std::string {
    auto target = wire::quarantine_message{};
    std::visit(writer{target}, message);
    return target.SerializeAsString();
}

auto decode_quarantine(std::string_view bytes) -> result<quarantine_message> {
    auto source = wire::quarantine_message{};
    const auto parsed =
        source.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
    if (parsed && source.has_suspicion()) {
        return read(source.suspicion());
    }
    if (parsed && source.has_clearance()) {
        const auto& body = source.clearance();
        return clearance{{body.fingerprint_high(), body.fingerprint_low()},
                         read_crashes(body.crashes())};
    }
    if (parsed && source.has_ask()) {
        return read_ask(source.ask());
    }
    if (parsed && source.has_reply()) {
        if (auto answer = read_reply(source.reply())) {
            return *answer;
        }
    }
    if (parsed && source.has_end()) {
        return isolation_release{source.end().request_id(),
                                 source.end().crashed()};
    }
    return tl::unexpected(error{error_code::invalid_argument,
                                step::peer,
                                {},
                                "not a quarantine message"});
}

} // namespace basilstream::protocol
