#include "basilstream/protocol/event_stream/event_stream.hpp"

#include <charconv>
#include <utility>

namespace basilstream::protocol {
namespace {

constexpr auto end_of_event = std::string_view{"\n\n"};

// Returns the value of the event's id field, if it is a number.
auto event_id(std::string_view event) -> std::optional<std::uint64_t> {
    constexpr auto field = std::string_view{"id:"};
    while (!event.empty()) {
        const auto line = event.substr(0, event.find('\n'));
        event.remove_prefix(std::min(event.size(), line.size() + 1));
        if (!line.starts_with(field)) {
            continue;
        }
        auto value = line.substr(field.size());
        if (value.starts_with(' ')) {
            value.remove_prefix(1);
        }
        auto id = std::uint64_t{0};
        const auto [end, failure] =
            std::from_chars(value.data(), value.data() + value.size(), id);
        if (failure == std::errc{}) {
            return id;
        }
    }
    return std::nullopt;
}

} // namespace

auto event_splitter::take_event(std::string_view event) -> void {
    const auto id = event_id(event);
    if (id && *id <= skip_through_) {
        return;
    }
    if (id) {
        last_id_ = id;
    }
    ++events_;
    whole_.append(event);
}

auto event_splitter::feed(std::string_view bytes) -> std::string_view {
    whole_.clear();
    // The end may lie across two pieces: look from one byte before.
    auto from = pending_.empty() ? 0 : pending_.size() - 1;
    pending_.append(bytes);
    auto begin = std::size_t{0};
    while (true) {
        const auto end = pending_.find(end_of_event, from);
        if (end == std::string::npos) {
            break;
        }
        const auto next = end + end_of_event.size();
        take_event(std::string_view{pending_}.substr(begin, next - begin));
        begin = next;
        from = next;
    }
    pending_.erase(0, begin);
    return whole_;
}

auto event_splitter::take_partial() -> std::string {
    return std::exchange(pending_, {});
}

} // namespace basilstream::protocol
