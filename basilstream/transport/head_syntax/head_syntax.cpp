#include "basilstream/transport/head_syntax/head_syntax.hpp"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <system_error>

namespace basilstream::transport {
namespace {

constexpr auto line_end = std::string_view{"\r\n"};
constexpr auto version_1_0 = std::string_view{"HTTP/1.0 "};
constexpr auto version_1_1 = std::string_view{"HTTP/1.1 "};
constexpr auto status_digits = std::size_t{3};
constexpr auto switching_protocols = std::string_view{"101"};

auto is_digit(char letter) -> bool {
    return letter >= '0' && letter <= '9';
}

auto is_number(std::string_view text) -> bool {
    return !text.empty() && std::all_of(text.begin(), text.end(), is_digit);
}

// Returns whether the text is a length that parsers can hold.
auto is_length_value(std::string_view text) -> bool {
    auto length = std::uint64_t{0};
    return is_number(text) &&
           std::from_chars(text.data(), text.data() + text.size(), length).ec ==
               std::errc{};
}

auto lower(char letter) -> char {
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter + 32)
                                          : letter;
}

// `name` is in lower case.
auto is_same(std::string_view text, std::string_view name) -> bool {
    return std::equal(text.begin(), text.end(), name.begin(), name.end(),
                      [](char one, char other) { return lower(one) == other; });
}

// Letters of a token, RFC 9110, section 5.6.2.
auto is_token_letter(char letter) -> bool {
    return is_digit(letter) || (lower(letter) >= 'a' && lower(letter) <= 'z') ||
           std::string_view{"!#$%&'*+-.^_`|~"}.find(letter) !=
               std::string_view::npos;
}

// Printable letters, blanks, tabs and bytes above ASCII.
auto is_text(std::string_view text) -> bool {
    constexpr auto delete_letter = '\x7f';
    return std::all_of(text.begin(), text.end(), [](char letter) {
        const auto code = static_cast<unsigned char>(letter);
        return letter == '\t' || (code >= ' ' && letter != delete_letter);
    });
}

auto trim(std::string_view text) -> std::string_view {
    constexpr auto blanks = " \t";
    const auto first = text.find_first_not_of(blanks);
    return first == std::string_view::npos
               ? std::string_view{}
               : text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

} // namespace

auto is_field_line(std::string_view line) -> bool {
    const auto colon = line.find(':');
    if (colon == std::string_view::npos || colon == 0) {
        return false;
    }
    const auto name = line.substr(0, colon);
    return std::all_of(name.begin(), name.end(), is_token_letter) &&
           is_text(line.substr(colon + 1));
}

auto answer_head_checker::accept(std::string_view line) -> bool {
    if (!line.ends_with(line_end)) {
        return false;
    }
    line.remove_suffix(line_end.size());
    if (part_ == part::status_line) {
        part_ = part::fields;
        return accept_status_line(line);
    }
    if (!line.empty()) {
        return is_field_line(line) && accept_field(line);
    }
    part_ = interim_ ? part::status_line : part::trailer;
    return true;
}

auto answer_head_checker::accept_status_line(std::string_view line) -> bool {
    if (!line.starts_with(version_1_0) && !line.starts_with(version_1_1)) {
        return false;
    }
    knows_chunks_ = line.starts_with(version_1_1);
    line.remove_prefix(version_1_1.size());
    const auto status = line.substr(0, status_digits);
    const auto reason = line.substr(status.size());
    interim_ = status.starts_with('1');
    // RFC 9110, section 15: codes have one of five classes. No request asks for
    // another protocol.
    return status.size() == status_digits && is_number(status) &&
           status.front() >= '1' && status.front() <= '5' &&
           status != switching_protocols &&
           (reason.empty() || reason.front() == ' ') && is_text(reason);
}

auto answer_head_checker::accept_field(std::string_view line) -> bool {
    const auto colon = line.find(':');
    const auto name = line.substr(0, colon);
    const auto value = trim(line.substr(colon + 1));
    if (part_ == part::trailer) {
        return true;
    }
    const auto is_length = is_same(name, "content-length");
    const auto is_coding = is_same(name, "transfer-encoding");
    // One of them, once; a coding other than chunks would be left undone.
    const auto is_second = has_length_ || is_chunked_;
    if (interim_) {
        return !is_length && !is_coding;
    }
    if (is_length) {
        has_length_ = true;
        return !is_second && is_length_value(value);
    }
    if (is_coding) {
        is_chunked_ = true;
        return !is_second && knows_chunks_ && is_same(value, "chunked");
    }
    return true;
}

} // namespace basilstream::transport
