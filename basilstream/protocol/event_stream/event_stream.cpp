#include "basilstream/protocol/event_stream/event_stream.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace basilstream::protocol {
namespace {

// Longest end of an event: the end of its last line and an empty line.
constexpr auto longest_end = std::string_view{"\r\n\r\n"}.size();

// Returns the length of the line end at `position`: CR LF, LF or CR; 0 if there
// is none, or if the next byte decides.
auto line_end_length(std::string_view text, std::size_t position)
    -> std::size_t {
    const auto rest = text.substr(std::min(position, text.size()));
    if (rest.starts_with('\n')) {
        return 1;
    }
    if (!rest.starts_with('\r') || rest.size() == 1) {
        return 0;
    }
    return rest[1] == '\n' ? 2 : 1;
}

// Returns where the first event ends whose end begins at `from` or later, or
// `npos`.
auto find_end_of_event(std::string_view text, std::size_t from) -> std::size_t {
    constexpr auto line_ends = std::string_view{"\r\n"};
    for (auto end = text.find_first_of(line_ends, from);
         end != std::string_view::npos;
         end = text.find_first_of(line_ends, end)) {
        const auto length = line_end_length(text, end);
        const auto empty_line = line_end_length(text, end + length);
        if (length == 0) {
            break;
        }
        end += length;
        if (empty_line > 0) {
            return end + empty_line;
        }
    }
    return std::string_view::npos;
}

// Returns the value of the event's id field, if it is a number.
auto event_id(std::string_view event) -> std::optional<std::uint64_t> {
    constexpr auto field = std::string_view{"id:"};
    while (!event.empty()) {
        const auto line = event.substr(0, event.find_first_of("\r\n"));
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
    auto text = pending_;
    // Nothing follows: a last CR is a line end unless lines end with CR LF.
    if (text.ends_with('\r') && text.find('\n') == std::string::npos) {
        text.push_back('\n');
    }
    auto begin = std::size_t{0};
    for (auto end = find_end_of_event(text, 0); end != std::string::npos;
         end = find_end_of_event(text, begin)) {
        begin = end;
    }
    while (begin < text.size()) {
        const auto end = text.find_first_of("\r\n", begin);
        const auto length =
            end == std::string::npos ? 0 : line_end_length(text, end);
        if (length == 0 || (end != begin && text[begin] != ':')) {
            return true;
        }
        begin = end + length;
    }
    return false;
}

auto event_splitter::take_partial() -> std::string {
    return std::exchange(pending_, {});
}

} // namespace basilstream::protocol
