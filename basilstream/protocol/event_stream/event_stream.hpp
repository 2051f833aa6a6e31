/// Splits a server-sent event stream (WHATWG HTML, "Server-sent events") into
/// whole events, so that a stream that breaks off can go on elsewhere.
///
///     auto events = event_splitter{};
///     events.skip_through(12);                 // the client has these
///     output.append(events.feed(bytes));       // whole events only
///     events.last_id();
///
/// Not safe for concurrent use.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace basilstream::protocol {

/// Passes whole events on and remembers the id of the last one. Lines end with
/// LF, CR LF or CR. After a CR the next byte decides, so that the last event of
/// a stream whose lines end with CR stays in take_partial().
class event_splitter {
public:
    /// Drops events whose ids are at most `id`.
    auto skip_through(std::uint64_t id) -> void { skip_through_ = id; }

    /// Takes in bytes. Returns the whole events that they complete; the view
    /// is valid until the next call.
    [[nodiscard]] auto feed(std::string_view bytes) -> std::string_view;

    /// Returns whether the bytes so far end inside an event. Empty lines and
    /// whole comment lines after the last event belong to none.
    [[nodiscard]] auto is_inside_event() const -> bool;
    /// Number of bytes that belong to no whole event yet.
    [[nodiscard]] auto partial_bytes() const -> std::size_t {
        return pending_.size();
    }
    /// Returns and forgets the bytes of the event that is not whole.
    [[nodiscard]] auto take_partial() -> std::string;

    /// Id of the last event passed on or skipped, if it had a numeric one.
    [[nodiscard]] auto last_id() const -> std::optional<std::uint64_t> {
        return last_id_;
    }
    /// Events passed on.
    [[nodiscard]] auto events() const -> std::uint64_t { return events_; }

private:
    auto take_event(std::string_view event) -> void;

    std::string pending_;
    std::string whole_;
    std::optional<std::uint64_t> last_id_;
    std::uint64_t skip_through_ = 0;
    std::uint64_t events_ = 0;
};

} // namespace basilstream::protocol
