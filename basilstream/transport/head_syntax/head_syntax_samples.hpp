// Heads of answers for tests of all that reads answers. The bodies behind them
// are what their framing says, if it says something.
#pragma once

#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace basilstream::transport {

struct head_sample {
    std::string_view name_;
    // Head and body.
    std::string bytes_;

    friend auto operator<<(std::ostream& out, const head_sample& sample)
        -> std::ostream& {
        return out << sample.name_;
    }
};

inline auto sample_of(std::string_view name, const std::string& status_line,
                      const std::string& fields) -> head_sample {
    return {name, status_line + "\r\n" + fields + "\r\nwhole"};
}

inline auto sample_of_status(std::string_view name, const std::string& status)
    -> head_sample {
    return sample_of(name, "HTTP/1.1 " + status, "Content-Length: 5\r\n");
}

inline auto sample_of_field(std::string_view name, std::string_view line)
    -> head_sample {
    return sample_of(name, "HTTP/1.1 200 OK",
                     std::string{line} + "\r\nContent-Length: 5\r\n");
}

inline auto sample_of_body(std::string_view name, const std::string& fields,
                           const std::string& body) -> head_sample {
    return {name, "HTTP/1.1 200 OK\r\n" + fields + "\r\n" + body};
}

// Heads that no answer has.
inline auto heads_of_no_answer() -> std::vector<head_sample> {
    using namespace std::string_view_literals;
    return {
        sample_of_status("status_000", "000 OK"),
        sample_of_status("status_000_without_reason", "000"),
        sample_of_status("status_001", "001 OK"),
        sample_of_status("status_099", "099 OK"),
        sample_of_status("status_600", "600 OK"),
        sample_of_status("status_999", "999 OK"),
        sample_of_status("status_of_two_digits", "20 OK"),
        sample_of_status("status_of_four_digits", "2000 OK"),
        sample_of_status("status_with_a_letter", "2x0 OK"),
        sample_of_status("status_with_a_sign", "+20 OK"),
        sample_of("no_version", "000", "Content-Length: 5\r\n"),
        sample_of("other_version", "HTTP/3.1 200 OK", "Content-Length: 5\r\n"),
        sample_of("two_blanks_before_status", "HTTP/1.1  200 OK",
                  "Content-Length: 5\r\n"),
        sample_of_status("control_byte_in_reason", "200 O\x01K"),
        sample_of_field("name_with_blank", "X A: b"),
        sample_of_field("name_with_tab", "X\tA: b"),
        sample_of_field("name_with_control_byte", "X\x01"
                                                  "A: b"),
        sample_of_field("name_with_nul", "X\0A: b"sv),
        sample_of_field("name_with_delete", "X\x7f"
                                            "A: b"),
        sample_of_field("name_with_byte_80", "X\x80"
                                             "A: b"),
        sample_of_field("name_with_parenthesis", "X(A: b"),
        sample_of_field("name_without_letters", ": b"),
        sample_of_field("no_colon", "X-A b"),
        sample_of_field("blank_before_colon", "X-A : b"),
        sample_of_field("tab_before_colon", "X-A\t: b"),
        sample_of_field("folded_line", "X-A: b\r\n c"),
        sample_of_field("line_folded_by_tab", "X-A: b\r\n\tc"),
        sample_of_field("first_line_begins_with_blank", " X-A: b"),
        sample_of_field("first_line_begins_with_tab", "\tX-A: b"),
        sample_of_field("value_with_control_byte", "X-A: b\x01"),
        sample_of_field("value_with_nul", "X-A: b\0c"sv),
        sample_of_field("value_with_delete", "X-A: b\x7f"),
        sample_of_field("value_with_carriage_return", "X-A: b\rc"),
        sample_of_field("line_that_ends_with_line_feed", "X-A: b\nX-B: c"),
        sample_of_body("length_twice",
                       "Content-Length: 5\r\nContent-Length: 5\r\n", "whole"),
        sample_of_body("two_lengths",
                       "Content-Length: 5\r\nContent-Length: 3\r\n", "whole"),
        sample_of_body("list_of_lengths", "Content-Length: 5, 5\r\n", "whole"),
        sample_of_body("length_with_a_sign", "Content-Length: +5\r\n", "whole"),
        sample_of_body("length_without_digits", "Content-Length: \r\n", ""),
        sample_of_body("huge_length",
                       "Content-Length: 99999999999999999999999\r\n", "whole"),
        sample_of_body("chunks_and_length",
                       "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
                       "5\r\nwhole\r\n0\r\n\r\n"),
        sample_of_body("length_and_chunks",
                       "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
                       "5\r\nwhole\r\n0\r\n\r\n"),
        sample_of_body("chunked_list",
                       "Transfer-Encoding: chunked, chunked\r\n",
                       "5\r\nwhole\r\n0\r\n\r\n"),
        sample_of_body("chunked_twice",
                       "Transfer-Encoding: chunked\r\n"
                       "Transfer-Encoding: chunked\r\n",
                       "5\r\nwhole\r\n0\r\n\r\n"),
        sample_of_body("chunked_and_gzip",
                       "Transfer-Encoding: chunked, gzip\r\n",
                       "5\r\nwhole\r\n0\r\n\r\n"),
        sample_of_body("gzip_and_chunked",
                       "Transfer-Encoding: gzip, chunked\r\n",
                       "5\r\nwhole\r\n0\r\n\r\n"),
        sample_of_body("gzip", "Transfer-Encoding: gzip\r\n", "whole"),
        sample_of_body("identity", "Transfer-Encoding: identity\r\n", "whole"),
        {"chunks_of_HTTP_1_0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked"
                               "\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"},
        {"switched_protocols",
         "HTTP/1.1 101 Switching Protocols\r\n\r\n"
         "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"},
        {"interim_head_with_folded_line",
         "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n c\r\n\r\n"
         "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"},
        {"interim_head_with_length",
         "HTTP/1.1 103 Early Hints\r\nContent-Length: 5\r\n\r\n"
         "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"},
        {"status_000_after_interim_head",
         "HTTP/1.1 100 Continue\r\n\r\n"
         "HTTP/1.1 000 OK\r\nContent-Length: 5\r\n\r\nwhole"},
    };
}

// Unusual heads of sound answers, each with the body "whole".
inline auto sound_heads() -> std::vector<head_sample> {
    return {
        sample_of_status("not_found", "404 Not Found"),
        sample_of_status("status_599", "599 Strange"),
        sample_of_status("status_299", "299 Strange"),
        sample_of_status("empty_reason", "200 "),
        sample_of_status("reason_with_byte_80", "200 \x80"),
        sample_of_field("value_with_byte_80", "X-A: \x80"),
        sample_of_field("value_with_tab", "X-A: b\tc"),
        sample_of_field("empty_value", "X-A:"),
        sample_of_field("no_blank_after_colon", "X-A:b"),
        sample_of_field("value_with_blanks", "X-A:  b  "),
        sample_of_field("name_of_all_letters", "!#$%&'*+-.^_`|~09azAZ: b"),
        sample_of_body("chunked_in_capitals",
                       "Transfer-Encoding:  CHUNKED \r\n",
                       "5\r\nwhole\r\n0\r\n\r\n"),
        sample_of_body("trailer", "Transfer-Encoding: chunked\r\n",
                       "5\r\nwhole\r\n0\r\nX-A: b\r\n\r\n"),
        {"HTTP_1_0", "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nwhole"},
        {"interim_heads",
         "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n"
         "Link: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"},
    };
}

} // namespace basilstream::transport
