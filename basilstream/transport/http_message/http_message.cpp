#include "basilstream/transport/http_message/http_message.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <exception>
#include <limits>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace basilstream::transport {
namespace {

namespace http = boost::beast::http;
using boost::beast::error_code;

// Largest head of an answer with the interim heads before it, size line of a
// chunk with its extensions, and trailer.
constexpr auto response_header_limit = std::uint32_t{64} * 1024;
constexpr auto line_end = std::string_view{"\r\n"};
constexpr auto http_1_1 = 11U;
constexpr auto scratch_size = std::size_t{16} * 1024;

constexpr auto hop_by_hop = std::array<std::string_view, 10>{
    "connection",         "keep-alive", "proxy-authenticate",
    "proxy-connection",   "te",         "trailer",
    "transfer-encoding",  "upgrade",    "content-length",
    "proxy-authorization"};

// Length of the shortest last chunk, "0" and two line ends. Boost.Beast 1.74
// asserts that it has as many bytes once it has seen the size line.
constexpr auto min_last_chunk_bytes = std::size_t{5};

// Returns whether the parser waits for more of a chunk's size line or of the
// trailer than `buffered` bytes.
template <class Parser>
auto needs_more_of_chunk(Parser& parser, std::size_t buffered) -> bool {
    return buffered < min_last_chunk_bytes && parser.is_header_done() &&
           !parser.is_done() && parser.chunked();
}

// Hands bytes to the parser. It throws on fields of 64 KiB, for example; nobody
// above would catch that.
template <class Parser>
auto put_bytes(Parser& parser, std::string_view bytes, error_code& failure)
    -> std::size_t {
    try {
        return parser.put(boost::asio::const_buffer{bytes.data(), bytes.size()},
                          failure);
    } catch (const std::exception&) {
        failure = http::error::header_limit;
        return 0;
    }
}

auto lower(char letter) -> char {
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter + 32)
                                          : letter;
}

auto view(boost::beast::string_view text) -> std::string_view {
    return {text.data(), text.size()};
}

template <class Message>
auto copy_fields(const Message& message) -> header_list {
    auto fields = header_list{};
    for (const auto& each : message) {
        fields.add(std::string{view(each.name_string())},
                   std::string{view(each.value())});
    }
    return fields;
}

auto append_number(std::string& output, std::uint64_t value, int base) -> void {
    auto digits = std::array<char, 24>{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(),
                                   value, base);
    output.append(digits.data(), end.ptr);
}

auto append_fields(std::string& output, const header_list& headers) -> void {
    for (const auto& [name, value] : headers) {
        if (!is_hop_by_hop(name)) {
            output.append(name).append(": ").append(value).append("\r\n");
        }
    }
}

// The parser takes a line that begins with a blank for the rest of the line
// before; other parsers do not.
auto has_folded_line(std::string_view header) -> bool {
    return header.find("\r\n ") != std::string_view::npos ||
           header.find("\r\n\t") != std::string_view::npos;
}

} // namespace

auto equal_names(std::string_view left, std::string_view right) -> bool {
    return std::equal(
        left.begin(), left.end(), right.begin(), right.end(),
        [](char one, char other) { return lower(one) == lower(other); });
}

auto is_hop_by_hop(std::string_view name) -> bool {
    return std::any_of(
        hop_by_hop.begin(), hop_by_hop.end(),
        [&](std::string_view each) { return equal_names(each, name); });
}

auto header_list::erase(std::string_view name) -> void {
    std::erase_if(fields_, [&](const field& each) {
        return equal_names(each.first, name);
    });
}

auto header_list::set(std::string name, std::string value) -> void {
    erase(name);
    add(std::move(name), std::move(value));
}

auto header_list::find(std::string_view name) const -> std::string_view {
    for (const auto& [each, value] : fields_) {
        if (equal_names(each, name)) {
            return value;
        }
    }
    return {};
}

auto header_list::contains(std::string_view name) const -> bool {
    return count(name) > 0;
}

auto header_list::count(std::string_view name) const -> std::size_t {
    return static_cast<std::size_t>(
        std::count_if(fields_.begin(), fields_.end(), [&](const field& each) {
            return equal_names(each.first, name);
        }));
}

namespace {

// As http::string_body, which takes memory for the whole body as soon as its
// length is known. Memory for bodies is counted as they arrive, so that it is
// taken once a good part of the body is there.
struct late_string_body : http::string_body {
    static constexpr auto beginning_bytes_ = std::size_t{32} * 1024;
    static constexpr auto beginning_part_ = std::size_t{4};

    class reader {
    public:
        template <bool IsRequest, class Fields>
        reader(http::header<IsRequest, Fields>& /*head*/, value_type& body)
            : body_{body} {}

        auto init(const boost::optional<std::uint64_t>& length,
                  boost::beast::error_code& failure) -> void {
            length_ = length.value_or(0);
            failure = {};
        }

        template <class Buffers>
        auto put(const Buffers& pieces, boost::beast::error_code& failure)
            -> std::size_t {
            const auto bytes = boost::beast::buffer_bytes(pieces);
            const auto beginning =
                std::max(beginning_bytes_, length_ / beginning_part_);
            if (body_.size() + bytes > beginning &&
                body_.capacity() < length_) {
                body_.reserve(length_);
            }
            for (const auto piece : boost::beast::buffers_range_ref(pieces)) {
                body_.append(static_cast<const char*>(piece.data()),
                             piece.size());
            }
            failure = {};
            return bytes;
        }

        auto finish(boost::beast::error_code& failure) -> void { failure = {}; }

    private:
        value_type& body_;
        std::size_t length_ = 0;
    };
};

} // namespace

class request_reader::parser : public http::request_parser<late_string_body> {
public:
    explicit parser(const request_limits& limits) {
        eager(true);
        header_limit(static_cast<std::uint32_t>(limits.header_bytes_));
        body_limit(limits.body_bytes_);
    }
};

request_reader::request_reader(request_limits limits)
    : limits_{limits}, parser_{std::make_unique<parser>(limits)} {}

request_reader::~request_reader() = default;

auto request_reader::reset(request_limits limits) -> void {
    limits_ = limits;
    parser_ = std::make_unique<parser>(limits);
    buffer_ = {};
    header_bytes_ = 0;
    fault_ = request_fault::none;
    checked_ = false;
    expectation_said_ = false;
}

auto request_reader::fail(request_fault fault) -> read_state {
    fault_ = fault;
    return read_state::malformed;
}

auto request_reader::header_complete() const -> bool {
    return parser_->is_header_done();
}

auto request_reader::max_body_memory() const -> std::size_t {
    // A string that grows by pieces takes up to twice its size.
    return parser_->content_length()
               ? static_cast<std::size_t>(*parser_->content_length())
           : parser_->chunked() ? 2 * limits_.body_bytes_
                                : 0;
}

auto request_reader::body_bytes() const -> std::size_t {
    return parser_->get().body().size();
}

auto request_reader::head() const -> request_message {
    const auto& message = parser_->get();
    auto request = request_message{};
    request.method_ = view(message.method_string());
    request.target_ = view(message.target());
    request.headers_ = copy_fields(message);
    request.takes_chunks_ = message.version() >= http_1_1;
    request.keep_alive_ = message.keep_alive() && request.takes_chunks_;
    return request;
}

auto request_reader::take_expectation() -> bool {
    if (expectation_said_ || !parser_->is_header_done() || parser_->is_done() ||
        parser_->get().find("expect") == parser_->get().end()) {
        return false;
    }
    expectation_said_ = true;
    return true;
}

auto request_reader::check_header() -> request_fault {
    const auto& message = parser_->get();
    const auto count = [&](const char* name) {
        return message.count(name);
    };
    const auto codings = count("transfer-encoding");
    const auto coding = view(message["transfer-encoding"]);
    const auto length = view(message["content-length"]);
    const auto target = view(message.target());
    const auto ambiguous =
        length.find_first_not_of("0123456789") != std::string_view::npos ||
        count("host") != 1 || count("content-length") > 1 || codings > 1 ||
        (codings == 1 && !equal_names(coding, "chunked")) ||
        (codings == 1 && count("content-length") == 1) || target.empty() ||
        target.front() != '/';
    return ambiguous ? request_fault::malformed : request_fault::none;
}

auto request_reader::feed(std::string_view bytes) -> read_state {
    if (fault_ != request_fault::none) {
        return read_state::malformed;
    }
    const auto began_chunk = !buffer_.empty();
    buffer_.append(bytes);
    if (began_chunk && needs_more_of_chunk(*parser_, buffer_.size())) {
        return read_state::incomplete;
    }
    auto used = std::size_t{0};
    while (!parser_->is_done() && used < buffer_.size()) {
        auto failure = error_code{};
        const auto was_header_done = parser_->is_header_done();
        const auto rest = std::string_view{buffer_}.substr(used);
        if (!was_header_done) {
            const auto end = rest.find("\r\n\r\n");
            if (has_folded_line(rest.substr(0, end))) {
                return fail(request_fault::malformed);
            }
        }
        const auto taken = put_bytes(*parser_, rest, failure);
        used += taken;
        header_bytes_ += was_header_done ? 0 : taken;
        if (!parser_->is_header_done() &&
            header_bytes_ > limits_.header_bytes_) {
            return fail(request_fault::header_too_large);
        }
        if (failure == http::error::need_more) {
            break;
        }
        if (failure == http::error::header_limit) {
            return fail(request_fault::header_too_large);
        }
        if (failure == http::error::body_limit) {
            return fail(request_fault::body_too_large);
        }
        if (failure) {
            return fail(request_fault::malformed);
        }
        if (parser_->is_header_done() && !std::exchange(checked_, true)) {
            if (const auto fault = check_header();
                fault != request_fault::none) {
                return fail(fault);
            }
        }
        if (taken == 0) {
            break;
        }
    }
    buffer_.erase(0, used);
    if (parser_->is_done()) {
        return read_state::complete;
    }
    // Size lines of chunks and trailers, which the parser takes whole.
    return buffer_.size() > limits_.header_bytes_
               ? fail(request_fault::header_too_large)
               : read_state::incomplete;
}

auto request_reader::take() -> request_message {
    auto request = head();
    request.body_ = std::move(parser_->get().body());
    parser_ = std::make_unique<parser>(limits_);
    header_bytes_ = 0;
    checked_ = false;
    expectation_said_ = false;
    return request;
}

class response_reader::parser
    : public http::response_parser<http::buffer_body> {
public:
    explicit parser(bool answer_to_head) {
        eager(true);
        header_limit(response_header_limit);
        // Boost.Beast 1.74 rejects the body that follows a head of its own if
        // there is no limit.
        body_limit(std::numeric_limits<std::uint64_t>::max());
        skip(answer_to_head);
    }
};

response_reader::response_reader(bool answer_to_head)
    : answer_to_head_{answer_to_head}, parser_{std::make_unique<parser>(
                                           answer_to_head)} {}

response_reader::~response_reader() = default;

auto response_reader::check_head() -> bool {
    auto rest = std::string_view{head_};
    for (auto end = rest.find(line_end);
         end != std::string_view::npos && !rest.starts_with(line_end);
         end = rest.find(line_end)) {
        if (!head_checker_.accept(rest.substr(0, end + line_end.size()))) {
            return false;
        }
        rest.remove_prefix(end + line_end.size());
    }
    const auto ended = head_checker_.accept(rest.substr(0, line_end.size()));
    head_ = {};
    return ended;
}

auto response_reader::report_head(response_sink& sink) -> void {
    const auto& message = parser_->get();
    auto head = answer_head{};
    head.status_ = static_cast<int>(message.result_int());
    head.headers_ = copy_fields(message);
    head.keep_alive_ = message.keep_alive();
    head.framing_ = parser_->chunked()    ? answer_framing::chunked
                    : parser_->need_eof() ? answer_framing::connection
                                          : answer_framing::length;
    head_reported_ = true;
    sink.on_head(std::move(head));
}

auto response_reader::feed(std::string_view bytes, response_sink& sink)
    -> read_state {
    static thread_local auto scratch = std::array<char, scratch_size>{};
    started_ = started_ || !bytes.empty();
    const auto began_chunk = !buffer_.empty();
    buffer_.append(bytes);
    if (began_chunk && needs_more_of_chunk(*parser_, buffer_.size())) {
        return read_state::incomplete;
    }
    auto used = std::size_t{0};
    while (!parser_->is_done()) {
        auto& body = parser_->get().body();
        body.data = scratch.data();
        body.size = scratch.size();
        auto failure = error_code{};
        const auto was_header_done = parser_->is_header_done();
        const auto rest = std::string_view{buffer_}.substr(used);
        const auto taken = put_bytes(*parser_, rest, failure);
        used += taken;
        if (!was_header_done) {
            header_bytes_ += taken;
            head_.append(rest.substr(0, taken));
        }
        if (!parser_->is_header_done() &&
            header_bytes_ > response_header_limit) {
            return read_state::malformed;
        }
        const auto fine = !failure || failure == http::error::need_more ||
                          failure == http::error::need_buffer;
        if (!fine) {
            return read_state::malformed;
        }
        if (parser_->is_header_done() && !head_reported_) {
            if (!check_head()) {
                return read_state::malformed;
            }
            if (parser_->get().result_int() / 100 == 1) {
                parser_ = std::make_unique<parser>(answer_to_head_);
                continue;
            }
            report_head(sink);
        }
        const auto filled = scratch.size() - body.size;
        if (filled > 0) {
            sink.on_body({scratch.data(), filled});
        }
        if (failure == http::error::need_more || taken == 0) {
            break;
        }
    }
    buffer_.erase(0, used);
    if (!parser_->is_done()) {
        return buffer_.size() > response_header_limit ? read_state::malformed
                                                      : read_state::incomplete;
    }
    surplus_ = buffer_.size();
    return read_state::complete;
}

auto response_reader::restart() -> std::string {
    parser_ = std::make_unique<parser>(answer_to_head_);
    head_.clear();
    head_checker_ = {};
    header_bytes_ = 0;
    started_ = false;
    head_reported_ = false;
    surplus_ = 0;
    return std::exchange(buffer_, {});
}

auto response_reader::finish() -> read_state {
    if (!parser_->is_header_done()) {
        return read_state::malformed;
    }
    auto failure = error_code{};
    parser_->put_eof(failure);
    return !failure && parser_->is_done() ? read_state::complete
                                          : read_state::malformed;
}

auto write_request(std::string_view method, std::string_view target,
                   const header_list& headers, std::string_view body)
    -> std::string {
    auto output = std::string{};
    output.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
    append_fields(output, headers);
    if (!body.empty() || method == "POST" || method == "PUT") {
        output.append("Content-Length: ");
        append_number(output, body.size(), 10);
        output.append("\r\n");
    }
    output.append("\r\n").append(body);
    return output;
}

auto write_head(int status, const header_list& headers, body_framing framing,
                std::size_t length, bool keep_alive) -> std::string {
    auto output = std::string{"HTTP/1.1 "};
    append_number(output, static_cast<std::uint64_t>(status), 10);
    output.append(" ")
        .append(view(http::obsolete_reason(static_cast<http::status>(status))))
        .append("\r\n");
    append_fields(output, headers);
    if (framing == body_framing::length) {
        output.append("Content-Length: ");
        append_number(output, length, 10);
        output.append("\r\n");
    } else if (framing == body_framing::chunked) {
        output.append("Transfer-Encoding: chunked\r\n");
    }
    if (!keep_alive) {
        output.append("Connection: close\r\n");
    }
    output.append("\r\n");
    return output;
}

auto append_chunk(std::string& output, std::string_view piece) -> void {
    append_number(output, piece.size(), 16);
    output.append("\r\n").append(piece).append("\r\n");
}

} // namespace basilstream::transport
