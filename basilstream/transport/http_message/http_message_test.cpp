#include "basilstream/transport/http_message/http_message.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "basilstream/transport/head_syntax/head_syntax_samples.hpp"

namespace basilstream::transport {
namespace {

class recording_sink final : public response_sink {
public:
    auto on_head(answer_head head) -> void override {
        ++heads_;
        head_ = std::move(head);
    }
    auto on_body(std::string_view piece) -> void override {
        body_.append(piece);
    }

    int heads_ = 0;
    answer_head head_;
    std::string body_;
};

auto fault_of(std::string_view bytes, request_limits limits = {})
    -> request_fault {
    auto reader = request_reader{limits};
    return reader.feed(bytes) == read_state::malformed ? reader.fault()
                                                       : request_fault::none;
}

TEST(request_reader, reads_a_request_byte_by_byte) {
    const auto bytes = std::string{"POST /a/b?c=1 HTTP/1.1\r\nHost: x\r\n"
                                   "Content-Length: 3\r\nX-A: y\r\n\r\nabc"};
    auto reader = request_reader{{}};
    for (auto index = std::size_t{0}; index + 1 < bytes.size(); ++index) {
        ASSERT_EQ(reader.feed(bytes.substr(index, 1)), read_state::incomplete);
    }
    ASSERT_EQ(reader.feed("c"), read_state::complete);
    const auto request = reader.take();
    EXPECT_EQ(request.method_, "POST");
    EXPECT_EQ(request.target_, "/a/b?c=1");
    EXPECT_EQ(request.headers_.find("x-a"), "y");
    EXPECT_EQ(request.body_, "abc");
    EXPECT_TRUE(request.keep_alive_);
    EXPECT_FALSE(reader.has_surplus());
}

TEST(request_reader, joins_chunks_and_keeps_what_follows) {
    auto reader = request_reader{{}};
    ASSERT_EQ(reader.feed("POST / HTTP/1.1\r\nHost: x\r\n"
                          "Transfer-Encoding: chunked\r\n\r\n"
                          "2\r\nab\r\n1\r\nc\r\n0\r\n\r\nGET /x"),
              read_state::complete);
    EXPECT_EQ(reader.take().body_, "abc");
    EXPECT_TRUE(reader.has_surplus());
}

TEST(request_reader, asks_for_the_body_once) {
    auto reader = request_reader{{}};
    ASSERT_EQ(reader.feed("POST / HTTP/1.1\r\nHost: x\r\nExpect: 100-continue"
                          "\r\nContent-Length: 1\r\n\r\n"),
              read_state::incomplete);
    EXPECT_TRUE(reader.take_expectation());
    EXPECT_FALSE(reader.take_expectation());
}

// Requests that two parsers could frame differently.
class ambiguous_request : public testing::TestWithParam<const char*> {};

TEST_P(ambiguous_request, is_malformed) {
    EXPECT_EQ(fault_of(GetParam()), request_fault::malformed) << GetParam();
}

INSTANTIATE_TEST_SUITE_P(
    request_reader, ambiguous_request,
    testing::Values(
        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n"
        "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
        "Content-Length: 3\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n"
        "Content-Length: 4\r\n\r\nabcd",
        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n"
        "Content-Length: 3\r\n\r\nabc",
        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: +3\r\n\r\nabc",
        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3, 3\r\n\r\nabc",
        "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip, chunked\r\n"
        "\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: xchunked\r\n"
        "\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
        "\r\n0x2\r\nab\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
        "\r\n-1\r\nab\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
        "\r\n2\nab\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length : 3\r\n\r\nabc",
        "POST / HTTP/1.1\r\nHost: x\r\nContent-\r\n Length: 3\r\n\r\nabc",
        "POST / HTTP/1.1\r\nHost: x\r\nX-A: b\r\n Content-Length: 3\r\n\r\n",
        "POST / HTTP/1.1\nHost: x\nContent-Length: 3\n\nabc",
        "GET / HTTP/1.1\r\nHost: x\nX-A: b\r\n\r\n", "GET / HTTP/1.1\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n",
        "GET http://x/ HTTP/1.1\r\nHost: x\r\n\r\n",
        "GET /a b HTTP/1.1\r\nHost: x\r\n\r\n",
        "GET / HTTP/1.1\r\n X-A: b\r\nHost: x\r\n\r\n",
        "GET / HTTP/1.1\r\n\tX-A: b\r\nHost: x\r\n\r\n"));

// The checks of a head must not depend on where its segments end.
TEST_P(ambiguous_request, is_accepted_in_pieces) {
    const auto bytes = std::string{GetParam()};
    for (auto size = std::size_t{1}; size < bytes.size(); ++size) {
        auto reader = request_reader{{}};
        auto state = reader.feed(bytes.substr(0, size));
        if (state == read_state::incomplete) {
            state = reader.feed(bytes.substr(size));
        }
        EXPECT_NE(state, read_state::complete) << "after " << size << " bytes";
    }
}

TEST(request_reader, keeps_its_bounds) {
    const auto long_header =
        "GET / HTTP/1.1\r\nHost: x\r\nX-A: " + std::string(300, 'a') +
        "\r\n\r\n";
    EXPECT_EQ(fault_of(long_header, {.header_bytes_ = 200}),
              request_fault::header_too_large);
    EXPECT_EQ(fault_of("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 11\r\n"
                       "\r\n01234567890",
                       {.body_bytes_ = 10}),
              request_fault::body_too_large);
}

RC_GTEST_PROP(request_reader, takes_any_bytes, (const std::string& bytes)) {
    auto reader = request_reader{{}};
    (void)reader.feed("POST / HTTP/1.1\r\n" + bytes);
}

TEST(response_reader, reads_chunks_as_they_come) {
    auto reader = response_reader{};
    auto sink = recording_sink{};
    ASSERT_EQ(reader.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                          "\r\n3\r\nab",
                          sink),
              read_state::incomplete);
    EXPECT_EQ(sink.body_, "ab");
    ASSERT_EQ(reader.feed("c\r\n0\r\n\r\n", sink), read_state::complete);
    EXPECT_EQ(sink.body_, "abc");
    EXPECT_EQ(reader.surplus(), 0U);
}

// A server writes head and body apart, in any pieces.
TEST(response_reader, answer_whose_head_arrives_alone_is_malformed) {
    const auto answer = std::string{
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nX-A: b\r\n\r\nabc"};
    for (auto first = std::size_t{1}; first < answer.size(); ++first) {
        auto sink = recording_sink{};
        auto reader = response_reader{};
        EXPECT_EQ(reader.feed(answer.substr(0, first), sink),
                  read_state::incomplete)
            << first;
        EXPECT_EQ(reader.feed(answer.substr(first), sink),
                  read_state::complete);
        EXPECT_EQ(sink.body_, "abc");
    }
}

// Feeds a message in every pair and every triple of pieces, and byte by byte.
template <class Feed>
auto feed_in_pieces(const std::string& message, Feed feed) -> void {
    for (auto first = std::size_t{1}; first < message.size(); ++first) {
        for (auto second = first; second < message.size(); ++second) {
            feed(std::vector{message.substr(0, first),
                             message.substr(first, second - first),
                             message.substr(second)});
        }
    }
    auto bytes = std::vector<std::string>{};
    for (const auto byte : message) {
        bytes.emplace_back(1, byte);
    }
    feed(bytes);
}

// A last chunk of which four bytes had arrived ended the process.
TEST(request_reader, last_chunk_in_pieces_ends_the_process) {
    const auto head = std::string{"POST / HTTP/1.1\r\nHost: x\r\n"
                                  "Transfer-Encoding: chunked\r\n\r\n"};
    for (const auto* const body :
         {"0\r\n\r\n", "1\r\na\r\n0\r\n\r\n", "0;a=b\r\nX-A: b\r\n\r\n"}) {
        feed_in_pieces(body, [&](const auto& pieces) {
            auto reader = request_reader{{}};
            auto state = reader.feed(head);
            for (const auto& piece : pieces) {
                state = piece.empty() ? state : reader.feed(piece);
            }
            EXPECT_EQ(state, read_state::complete) << body;
        });
    }
}

TEST(response_reader, last_chunk_in_pieces_ends_the_process) {
    const auto head = std::string{"HTTP/1.1 200 OK\r\n"
                                  "Transfer-Encoding: chunked\r\n\r\n"};
    for (const auto* const body :
         {"0\r\n\r\n", "1\r\na\r\n0\r\n\r\n", "0;a=b\r\nX-A: b\r\n\r\n"}) {
        feed_in_pieces(body, [&](const auto& pieces) {
            auto reader = response_reader{};
            auto sink = recording_sink{};
            auto state = reader.feed(head, sink);
            for (const auto& piece : pieces) {
                state = piece.empty() ? state : reader.feed(piece, sink);
            }
            EXPECT_EQ(state, read_state::complete) << body;
        });
    }
}

// Beginnings of what a chunked body can go on with for ever.
constexpr auto endless_chunk_parts =
    std::array{"5;x", "0000000", "0;x", "0\r\nX-A: "};

TEST(request_reader, endless_size_line_or_trailer_is_kept) {
    for (const auto* const part : endless_chunk_parts) {
        auto reader = request_reader{{.header_bytes_ = 1000}};
        auto state = reader.feed("POST / HTTP/1.1\r\nHost: x\r\n"
                                 "Transfer-Encoding: chunked\r\n\r\n" +
                                 std::string{part});
        for (auto piece = 0; piece < 3; ++piece) {
            state = reader.feed(std::string(500, '0'));
        }
        EXPECT_EQ(state, read_state::malformed) << part;
        EXPECT_EQ(reader.fault(), request_fault::header_too_large) << part;
    }
}

TEST(response_reader, endless_size_line_or_trailer_is_kept) {
    for (const auto* const part : endless_chunk_parts) {
        auto reader = response_reader{};
        auto sink = recording_sink{};
        auto state = reader.feed("HTTP/1.1 200 OK\r\n"
                                 "Transfer-Encoding: chunked\r\n\r\n" +
                                     std::string{part},
                                 sink);
        for (auto piece = 0; piece < 3; ++piece) {
            state = reader.feed(std::string(30'000, '0'), sink);
        }
        EXPECT_EQ(state, read_state::malformed) << part;
    }
}

// The parser throws on a field value of 64 KiB.
TEST(response_reader, long_trailer_field_ends_the_process) {
    auto reader = response_reader{};
    auto sink = recording_sink{};
    ASSERT_EQ(reader.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                          "\r\n0\r\nX: " +
                              std::string(60'000, 'a'),
                          sink),
              read_state::incomplete);
    EXPECT_EQ(reader.feed(std::string(6'000, 'a') + "\r\n\r\n", sink),
              read_state::malformed);
}

// The parser bounds only what it has not taken of a head.
TEST(response_reader, head_of_short_fields_has_no_bound) {
    auto reader = response_reader{};
    auto sink = recording_sink{};
    auto state = reader.feed("HTTP/1.1 200 OK\r\nx", sink);
    for (auto field = 0; field < 20'000 && state == read_state::incomplete;
         ++field) {
        state = reader.feed(": b\r\nx", sink);
    }
    EXPECT_EQ(state, read_state::malformed);
}

TEST(request_reader, head_of_short_fields_has_no_bound) {
    auto reader = request_reader{{.header_bytes_ = 1000}};
    auto state = reader.feed("GET / HTTP/1.1\r\nHost: x\r\nx");
    for (auto field = 0; field < 500 && state == read_state::incomplete;
         ++field) {
        state = reader.feed(": b\r\nx");
    }
    EXPECT_EQ(state, read_state::malformed);
    EXPECT_EQ(reader.fault(), request_fault::header_too_large);
}

// Feeds an answer whole, in every pair of pieces, and byte by byte, each time
// to a reader and a sink of its own.
template <class Check>
auto feed_answer_in_pieces(const std::string& bytes, Check check) -> void {
    const auto feed = [&](const std::vector<std::string>& pieces) {
        auto reader = response_reader{};
        auto sink = recording_sink{};
        auto state = read_state::incomplete;
        for (const auto& piece : pieces) {
            if (state == read_state::incomplete) {
                state = reader.feed(piece, sink);
            }
        }
        if (state == read_state::incomplete) {
            state = reader.finish();
        }
        check(state, sink);
    };
    feed({bytes});
    auto each = std::vector<std::string>{};
    for (auto size = std::size_t{1}; size < bytes.size(); ++size) {
        feed({bytes.substr(0, size), bytes.substr(size)});
        each.push_back(bytes.substr(size - 1, 1));
    }
    each.push_back(bytes.substr(bytes.size() - 1));
    feed(each);
}

class answer_heads : public testing::TestWithParam<head_sample> {};
class sound_answer_heads : public testing::TestWithParam<head_sample> {};

constexpr auto name_of_sample = [](const auto& info) {
    return std::string{info.param.name_};
};

// Answers with a status of 000, for example, or with a coding of the body that
// nobody undid were passed on.
TEST_P(answer_heads, head_that_is_no_answer_is_passed_on) {
    feed_answer_in_pieces(GetParam().bytes_,
                          [](read_state state, const recording_sink& sink) {
                              EXPECT_EQ(state, read_state::malformed);
                              EXPECT_EQ(sink.heads_, 0) << sink.head_.status_;
                          });
}

INSTANTIATE_TEST_SUITE_P(response_reader, answer_heads,
                         testing::ValuesIn(heads_of_no_answer()),
                         name_of_sample);

TEST_P(sound_answer_heads, unusual_head_is_rejected) {
    feed_answer_in_pieces(GetParam().bytes_,
                          [](read_state state, const recording_sink& sink) {
                              EXPECT_EQ(state, read_state::complete);
                              EXPECT_EQ(sink.body_, "whole");
                          });
}

INSTANTIATE_TEST_SUITE_P(response_reader, sound_answer_heads,
                         testing::ValuesIn(sound_heads()), name_of_sample);

TEST(response_reader, skips_interim_answers) {
    auto reader = response_reader{};
    auto sink = recording_sink{};
    ASSERT_EQ(
        reader.feed("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 201 Created\r\n"
                    "Content-Length: 1\r\n\r\nx",
                    sink),
        read_state::complete);
    EXPECT_EQ(sink.heads_, 1);
    EXPECT_EQ(sink.head_.status_, 201);
}

// A server that sends interim heads for ever held its caller.
TEST(response_reader, interim_heads_without_end_are_read) {
    auto reader = response_reader{};
    auto sink = recording_sink{};
    auto state = read_state::incomplete;
    for (auto head = 0; head < 10'000 && state == read_state::incomplete;
         ++head) {
        state = reader.feed("HTTP/1.1 100 Continue\r\n\r\n", sink);
    }
    EXPECT_EQ(state, read_state::malformed);
}

TEST(response_reader, counts_bytes_that_belong_to_no_request) {
    auto reader = response_reader{};
    auto sink = recording_sink{};
    ASSERT_EQ(
        reader.feed("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nxHTTP", sink),
        read_state::complete);
    EXPECT_EQ(reader.surplus(), 4U);
    EXPECT_EQ(reader.restart(), "HTTP");
}

TEST(response_reader, an_answer_without_a_length_ends_with_its_connection) {
    auto reader = response_reader{};
    auto sink = recording_sink{};
    ASSERT_EQ(reader.feed("HTTP/1.1 200 OK\r\n\r\nabc", sink),
              read_state::incomplete);
    EXPECT_EQ(reader.finish(), read_state::complete);
}

TEST(response_reader, an_answer_that_ends_early_is_not_whole) {
    auto reader = response_reader{};
    auto sink = recording_sink{};
    ASSERT_EQ(
        reader.feed("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", sink),
        read_state::incomplete);
    EXPECT_EQ(reader.finish(), read_state::malformed);
}

TEST(response_reader, an_answer_to_head_has_no_body) {
    auto reader = response_reader{true};
    auto sink = recording_sink{};
    EXPECT_EQ(reader.feed("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", sink),
              read_state::complete);
}

RC_GTEST_PROP(response_reader, takes_any_bytes, (const std::string& bytes)) {
    auto reader = response_reader{};
    auto sink = recording_sink{};
    (void)reader.feed("HTTP/1.1 " + bytes, sink);
    (void)reader.finish();
}

TEST(http_message, writes_what_it_reads) {
    auto headers = header_list{};
    headers.add("Host", "x");
    headers.add("Connection", "close");
    headers.add("Transfer-Encoding", "chunked");
    headers.add("X-A", "b");
    auto reader = request_reader{{}};
    ASSERT_EQ(reader.feed(write_request("PUT", "/p?q", headers, "body")),
              read_state::complete);
    const auto request = reader.take();
    EXPECT_EQ(request.target_, "/p?q");
    EXPECT_EQ(request.body_, "body");
    EXPECT_EQ(request.headers_.find("X-A"), "b");
    EXPECT_FALSE(request.headers_.contains("Connection"));
    EXPECT_FALSE(request.headers_.contains("Transfer-Encoding"));
}

TEST(http_message, writes_chunks) {
    auto output = write_head(200, {}, body_framing::chunked, 0, false);
    append_chunk(output, std::string(17, 'a'));
    output.append(last_chunk);
    auto reader = response_reader{};
    auto sink = recording_sink{};
    ASSERT_EQ(reader.feed(output, sink), read_state::complete);
    EXPECT_EQ(sink.body_, std::string(17, 'a'));
    EXPECT_FALSE(sink.head_.keep_alive_);
}

} // namespace
} // namespace basilstream::transport
