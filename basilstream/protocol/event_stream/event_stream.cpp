#include "basilstream/protocol/event_stream/event_stream.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace basilstream::protocol {
namespace {

// Longest end of an event: the end of its last line and an empty line.
constexpr auto longest_end = std::string_view{"\n\r\n"}.size();

// Returns where the first event ends whose end begins at `from` or later, or
// `npos`.
auto find_end_of_event(std::string_view text, std::size_t from) -> std::size_t {
    for (auto end = text.find('\n', from); end != std::string_view::npos;
         end = text.find('\n', end + 1)) {
        const auto next = text.substr(end + 1);
        if (next.starts_with('\n')) {
            return end + 2;
        }
        if (next.starts_with("\r\n")) {
            return end + longest_end;
        }
    }
    return std::string_view::npos;
}

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
    // The end may lie across several pieces.
    auto from = pending_.size() - std::min(pending_.size(), longest_end - 1);
    pending_.append(bytes);
    auto begin = std::size_t{0};
    while (true) {
        const auto end = find_end_of_event(pending_, from);
        if (end == std::string::npos) {
            break;
        }
        take_event(std::string_view{pending_}.substr(begin, end - begin));
        begin = end;
        from = end;
    }
    pending_.erase(0, begin);
    return whole_;
}

auto event_splitter::is_inside_event() const -> bool {
    auto rest = std::string_view{pending_};
    while (!rest.empty()) {
        const auto end = rest.find('\n');
        const auto line = rest.substr(0, end);
        const auto belongs_to_none =
            line.empty() || line == "\r" ||
            (line.front() == ':' && end != std::string_view::npos);
        if (!belongs_to_none) {
            return true;
        }
        rest.remove_prefix(std::min(rest.size(), line.size() + 1));
    }
    return false;
}

auto event_splitter::take_partial() -> std::string {
    return std::exchange(pending_, {});
}

} // namespace basilstream::protocol
