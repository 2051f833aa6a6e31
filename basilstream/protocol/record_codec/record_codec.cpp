#include "basilstream/protocol/record_codec/record_codec.hpp"

#include "basilstream/protocol/generated/record.pb.h"
#include "basilstream/protocol/record_codec/internal/convert.hpp"

namespace basilstream::protocol {

auto encode_record(const state::envelope& entry) -> std::string {
    auto message = wire::control::envelope{};
    internal::write(entry.id_, *message.mutable_id());
    message.set_written_at(entry.written_at_);
    std::visit([&](const auto& body) { internal::write_body(body, message); },
               entry.body_);
    return message.SerializeAsString();
}

auto decode_record(std::string_view payload) -> std::optional<state::envelope> {
    auto message = wire::control::envelope{};
    const auto size = static_cast<int>(payload.size());
    if (!message.ParseFromArray(payload.data(), size) || !message.has_id()) {
        return std::nullopt;
    }
    auto entry = state::envelope{};
    entry.id_ = internal::read(message.id());
    entry.written_at_ = message.written_at();
    entry.body_ = internal::read_body(message);
    return entry;
}

} // namespace basilstream::protocol
