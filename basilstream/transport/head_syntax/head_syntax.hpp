/// Checks the heads of answers by the rules of HTTP/1.1 (RFC 9112).
///
///     auto checker = answer_head_checker{};
///     for (const auto line : lines) {          // as received, with line ends
///         if (!checker.accept(line)) { reject(); }
///     }
///
/// The parsers in use, Boost.Beast and libcurl, accept heads that are no
/// answer: status codes without a meaning, codings that nobody undoes, lines
/// that another parser reads differently. What is passed on is written anew
/// from what they read, so that its receiver could not tell any more.
///
/// Sans-I/O; not safe for concurrent use.
#pragma once

#include <string_view>

namespace basilstream::transport {

/// Returns whether the line is a field of a head: a name without blanks or
/// control bytes, a colon directly after it, and a value without control bytes
/// other than tabs. Without its line end. Folded lines are no fields.
[[nodiscard]] auto is_field_line(std::string_view line) -> bool;

/// Checks the lines of one answer: the heads of interim answers (1xx), its own
/// head and its trailer.
class answer_head_checker {
public:
    /// Takes the next line, which ends with CR LF. Returns false if no answer
    /// has this line here; the checker is of no use then.
    [[nodiscard]] auto accept(std::string_view line) -> bool;
    /// Returns whether the next line is a field of the answer's own head, or
    /// the end of that head; not one of an interim head or of the trailer.
    [[nodiscard]] auto reads_own_fields() const -> bool {
        return part_ == part::fields && !interim_;
    }
    /// Returns whether the answer's own head has ended.
    [[nodiscard]] auto complete() const -> bool {
        return part_ == part::trailer;
    }

private:
    enum class part { status_line, fields, trailer };

    [[nodiscard]] auto accept_status_line(std::string_view line) -> bool;
    [[nodiscard]] auto accept_field(std::string_view line) -> bool;

    part part_ = part::status_line;
    bool interim_ = false;
    // Whether the answer is of HTTP/1.1, which knows chunks.
    bool knows_chunks_ = false;
    bool has_length_ = false;
    bool is_chunked_ = false;
};

} // namespace basilstream::transport
