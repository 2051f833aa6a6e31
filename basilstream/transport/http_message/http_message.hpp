/// HTTP/1.1 messages on a byte stream, parsed and written without I/O.
///
///     auto reader = request_reader{limits};
///     switch (reader.feed(bytes)) {
///     case read_state::complete: serve(reader.take()); break;
///     case read_state::incomplete: break;              // feed more
///     case read_state::malformed: answer(reader.failure()); break;
///     }
///
/// The parsers are Boost.Beast's. Messages whose framing two parsers could
/// read differently (both a length and chunks, repeated lengths, folded header
/// lines, other transfer codings) are malformed, and so are answers whose heads
/// are none by transport/head_syntax. Not safe for concurrent use.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/base/error/error.hpp"
#include "basilstream/base/name_table/name_table.hpp"
#include "basilstream/transport/head_syntax/head_syntax.hpp"

namespace basilstream::transport {

/// Header fields in the order in which they stand. Names compare without case.
class header_list {
public:
    using field = std::pair<std::string, std::string>;

    auto add(std::string name, std::string value) -> void {
        fields_.emplace_back(std::move(name), std::move(value));
    }
    auto erase(std::string_view name) -> void;
    auto set(std::string name, std::string value) -> void;
    /// Returns the first value of the field, or an empty view.
    [[nodiscard]] auto find(std::string_view name) const -> std::string_view;
    [[nodiscard]] auto contains(std::string_view name) const -> bool;
    [[nodiscard]] auto count(std::string_view name) const -> std::size_t;
    [[nodiscard]] auto begin() const { return fields_.begin(); }
    [[nodiscard]] auto end() const { return fields_.end(); }

private:
    std::vector<field> fields_;
};

/// A whole request.
struct request_message {
    std::string method_;
    /// Path and query as they stand in the request line.
    std::string target_;
    header_list headers_;
    std::string body_;
    bool keep_alive_ = true;
    /// Whether the client understands chunks: it speaks HTTP/1.1 or later.
    bool takes_chunks_ = true;
    /// Keeps what accounts for the body, as long as the request is kept.
    std::shared_ptr<void> body_lease_ = {};
    /// How long the body waited for memory, which its sender cannot see.
    duration waited_{};
};

/// What tells the end of an answer's body.
enum class answer_framing {
    /// Its length, also of answers without a body.
    length,
    /// Its last chunk.
    chunked,
    /// The orderly end of the connection.
    connection,
};

inline constexpr auto answer_framing_names = name_table<answer_framing, 3>{
    {{{answer_framing::length, "length"},
      {answer_framing::chunked, "chunked"},
      {answer_framing::connection, "connection"}}}};

/// Status line and headers of an answer.
struct answer_head {
    int status_ = 0;
    header_list headers_;
    bool keep_alive_ = true;
    answer_framing framing_ = answer_framing::length;
};

/// Bounds of a request.
struct request_limits {
    /// Also bounds the size line of a chunk and the trailer.
    std::size_t header_bytes_ = std::size_t{16} * 1024;
    std::size_t body_bytes_ = std::size_t{4} << 20U;
};

enum class read_state { incomplete, complete, malformed };

/// Why a request was not accepted; decides the status of the answer.
enum class request_fault { none, malformed, header_too_large, body_too_large };

/// Reads one request at a time from a connection's bytes.
class request_reader {
public:
    explicit request_reader(request_limits limits);
    ~request_reader();

    /// Takes in bytes. After `complete`, bytes beyond the request are kept.
    [[nodiscard]] auto feed(std::string_view bytes) -> read_state;
    /// Returns the complete request and starts on the next one.
    [[nodiscard]] auto take() -> request_message;

    /// Gives up what has arrived, with its memory, and starts from scratch.
    auto reset(request_limits limits) -> void;

    [[nodiscard]] auto fault() const -> request_fault { return fault_; }
    /// Whether any byte of a request has arrived.
    [[nodiscard]] auto started() const -> bool { return !buffer_.empty(); }
    [[nodiscard]] auto header_complete() const -> bool;
    /// Memory that the body takes at most, once the header is complete.
    [[nodiscard]] auto max_body_memory() const -> std::size_t;
    /// Bytes of the body that have arrived.
    [[nodiscard]] auto body_bytes() const -> std::size_t;
    /// Returns the request without its body, once the header is complete.
    [[nodiscard]] auto head() const -> request_message;
    /// Whether the client waits for leave to send the body, said once.
    [[nodiscard]] auto take_expectation() -> bool;
    /// Whether bytes wait that belong to a following request.
    [[nodiscard]] auto has_surplus() const -> bool { return !buffer_.empty(); }

private:
    class parser;
    auto fail(request_fault fault) -> read_state;
    auto check_header() -> request_fault;

    request_limits limits_;
    std::unique_ptr<parser> parser_;
    std::string buffer_;
    // Bytes of the head that the parser has taken.
    std::size_t header_bytes_ = 0;
    request_fault fault_ = request_fault::none;
    bool checked_ = false;
    bool expectation_said_ = false;
};

/// What a response_reader found in the bytes fed to it.
class response_sink {
public:
    response_sink() = default;
    response_sink(const response_sink&) = delete;
    auto operator=(const response_sink&) -> response_sink& = delete;
    virtual ~response_sink() = default;

    virtual auto on_head(answer_head head) -> void = 0;
    virtual auto on_body(std::string_view piece) -> void = 0;
};

/// Reads one answer. Interim answers (1xx) are skipped.
class response_reader {
public:
    explicit response_reader(bool answer_to_head = false);
    ~response_reader();

    /// Takes in bytes and reports what they hold. Bytes beyond a complete
    /// answer are counted in surplus().
    [[nodiscard]] auto feed(std::string_view bytes, response_sink& sink)
        -> read_state;
    /// The peer has closed its side in order: `complete` if the answer ends
    /// with its connection, else `malformed`.
    [[nodiscard]] auto finish() -> read_state;

    /// Whether any byte of the answer has arrived.
    [[nodiscard]] auto started() const -> bool { return started_; }
    [[nodiscard]] auto surplus() const -> std::size_t { return surplus_; }
    /// Returns the bytes beyond a complete answer and reads on from scratch.
    [[nodiscard]] auto restart() -> std::string;

private:
    class parser;
    // Returns whether the lines of the head are those of an answer.
    auto check_head() -> bool;
    auto report_head(response_sink& sink) -> void;

    bool answer_to_head_;
    std::unique_ptr<parser> parser_;
    std::string buffer_;
    // The head as it arrived, until it has been checked; body bytes may follow.
    std::string head_;
    answer_head_checker head_checker_;
    // Bytes of the head, and of interim heads, that the parser has taken.
    std::size_t header_bytes_ = 0;
    bool started_ = false;
    bool head_reported_ = false;
    std::size_t surplus_ = 0;
};

/// Returns the bytes of a request with its body; a body always has a length.
/// Content-Length and Transfer-Encoding in `headers` are ignored.
[[nodiscard]] auto write_request(std::string_view method,
                                 std::string_view target,
                                 const header_list& headers,
                                 std::string_view body) -> std::string;

/// How the body of a written answer is framed.
enum class body_framing { length, chunked, none };

/// Returns status line and headers. `length` counts with body_framing::length.
[[nodiscard]] auto write_head(int status, const header_list& headers,
                              body_framing framing, std::size_t length,
                              bool keep_alive) -> std::string;
/// Appends a chunk of a chunked body; `piece` must not be empty.
auto append_chunk(std::string& output, std::string_view piece) -> void;
inline constexpr auto last_chunk = std::string_view{"0\r\n\r\n"};

/// Whether a header concerns one connection only and is not passed on.
[[nodiscard]] auto is_hop_by_hop(std::string_view name) -> bool;
/// Compares header names.
[[nodiscard]] auto equal_names(std::string_view left, std::string_view right)
    -> bool;

} // namespace basilstream::transport
