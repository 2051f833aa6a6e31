#include "basilstream/transport/http_session/http_session.hpp"

#include <algorithm>
#include <unordered_map>
#include <utility>
#include <vector>

namespace basilstream::transport {
namespace {

// How long a closed connection waits for the client's last bytes. Closing
// with unread bytes would reset it and might destroy the answer.
constexpr auto linger_time = milliseconds{1000};
// At most, while the client still sends.
constexpr auto max_linger_time = milliseconds{10'000};
// Idle connections are kept this much longer than clients are told, so that a
// request under way does not meet a closed connection.
constexpr auto idle_margin = milliseconds{1000};
// Bodies up to this size are not counted; one read takes as much.
constexpr auto small_body_bytes = std::size_t{16} * 1024;
// A body that is forwarded is kept for further attempts beside the output.
constexpr auto copies_of_body = std::size_t{2};
// What a client may send before it has the answer to its request, until its
// connection is no longer read.
constexpr auto max_surplus_bytes = std::size_t{64} * 1024;
// Of an answer that others wait for, for longer than a retransmission takes.
constexpr auto unread_grace = seconds{1};
// A window of 8 KiB carries a body of 4 MiB in 20 s over 35 ms.
constexpr auto smallest_receive_buffer = std::size_t{8} * 1024;
constexpr auto smallest_send_buffer = std::size_t{4} * 1024;
constexpr auto request_timeout_status = 408;

// Shares of the descriptors, in 32nds. There are three servers for control.
constexpr auto whole_share = std::size_t{32};

auto share_of(client_kind kind) -> std::size_t {
    switch (kind) {
    case client_kind::callers:
        return 16;
    case client_kind::forwarding_daemons:
        return 4;
    default:
        return 1;
    }
}

auto status_of(request_fault fault) -> int {
    switch (fault) {
    case request_fault::header_too_large:
        return 431;
    case request_fault::body_too_large:
        return 413;
    default:
        return 400;
    }
}

} // namespace

auto max_sessions_of(client_kind kind) -> std::size_t {
    return std::max(std::size_t{1},
                    handle_limit() * share_of(kind) / whole_share);
}

http_session::http_session(http_session_server& server, int descriptor)
    : server_{server}, stream_{tcp_stream::adopt(server.thread_, descriptor,
                                                 *this)},
      reader_{server.options_.limits_}, since_{server.clock_.now()},
      id_{++server.last_session_id_}, peer_address_{peer_address(descriptor)},
      output_since_{since_}, receive_buffer_{coordination::buffer_share(
                                 server.options_.receive_buffer_bytes_,
                                 server.receive_buffers_,
                                 smallest_receive_buffer)},
      send_buffer_{coordination::buffer_share(
          server.options_.send_buffer_bytes_, server.send_buffers_,
          smallest_send_buffer)} {
    bound_buffers(descriptor, receive_buffer_, send_buffer_);
    server_.receive_buffers_ += receive_buffer_;
    server_.send_buffers_ += send_buffer_;
    if (server.options_.output_budget_ != nullptr) {
        output_lease_.emplace(*server.options_.output_budget_);
    }
}

http_session::~http_session() {
    (void)leave_bodies();
    server_.receive_buffers_ -= receive_buffer_;
    server_.send_buffers_ -= send_buffer_;
}

auto http_session::close() -> void {
    const auto self = shared_from_this();
    stream_.reset();
    (void)leave_bodies();
    count_output();
    server_.sessions_.erase(self);
}

auto http_session::report_cut(close_reason reason) const -> void {
    if ((busy_ || buffered() > 0) && server_.options_.on_cut_) {
        server_.options_.on_cut_({reason, busy_, buffered(),
                                  server_.clock_.now() - since_, observer_});
    }
}

auto http_session::on_closed(close_reason reason) -> void {
    const auto self = shared_from_this();
    report_cut(reason);
    auto* const observer = std::exchange(observer_, nullptr);
    close();
    if (observer != nullptr) {
        observer->on_client_left();
    }
}

auto http_session::on_data(std::string_view bytes) -> void {
    if (lingering_) {
        discard(bytes.size());
        return;
    }
    if (busy_) {
        // Sent before the answer to the request before: never read.
        keep_alive_ = false;
        discarded_bytes_ += bytes.size();
        if (discarded_bytes_ > max_surplus_bytes) {
            stream_->set_reading(false);
        }
        return;
    }
    if (!reader_.started()) {
        since_ = server_.clock_.now();
    }
    if (!request_begun()) {
        began_at_ = server_.clock_.now();
    }
    const auto self = shared_from_this();
    switch (reader_.feed(bytes)) {
    case read_state::incomplete:
        if (admit_body()) {
            continue_if_expected();
        }
        break;
    case read_state::malformed:
        refuse_malformed();
        break;
    case read_state::complete:
        busy_ = true;
        since_ = server_.clock_.now();
        delivery_deadline_ = since_ + server_.options_.idle_timeout_;
        keep_alive_ = !reader_.has_surplus();
        auto request = reader_.take();
        auto lease = leave_bodies();
        if (lease) {
            lease->hold(copies_of_body * request.body_.size());
        }
        request.body_lease_ = std::move(lease);
        request.waited_ = std::exchange(body_waited_, duration{0});
        keep_alive_ = keep_alive_ && request.keep_alive_;
        stream_framing_ =
            request.takes_chunks_ ? body_framing::chunked : body_framing::none;
        without_body_ = request.method_ == "HEAD";
        server_.handler_(std::move(request), *this);
        break;
    }
}

auto http_session::admit_body() -> bool {
    auto* const bodies = server_.bodies_;
    if (bodies == nullptr || !reader_.header_complete()) {
        return true;
    }
    const auto now = server_.clock_.now();
    if (!body_) {
        if (reader_.max_body_memory() <= small_body_bytes) {
            return true;
        }
        const auto max_wait = server_.options_.max_body_wait_(reader_.head());
        const auto need = std::min(reader_.max_body_memory(),
                                   server_.options_.limits_.body_bytes_);
        // Half of a request's time is for its body; a longest wait says that.
        const auto patience =
            std::max<duration>(2 * max_wait, server_.options_.idle_timeout_);
        body_ = bodies->join(*this,
                             {.need_ = copies_of_body * need,
                              .client_ = peer_address_,
                              .max_wait_ = max_wait,
                              .deadline_ = began_at_ + patience},
                             now);
    }
    body_waits_ =
        !bodies->on_arrival(*body_, copies_of_body * reader_.body_bytes(), now);
    body_waits_since_ = now;
    stream_->set_reading(!body_waits_);
    return !body_waits_;
}

auto http_session::on_body_memory() -> void {
    body_waits_ = false;
    since_ = server_.clock_.now();
    body_waited_ += since_ - body_waits_since_;
    stream_->set_reading(true);
    continue_if_expected();
}

auto http_session::on_body_refused(coordination::body_refusal reason) -> void {
    const auto self = shared_from_this();
    (void)leave_bodies();
    busy_ = true;
    keep_alive_ = false;
    stream_->set_reading(true);
    if (reason == coordination::body_refusal::too_slow) {
        ++server_.counts_.bodies_too_slow_;
        refuse_late_request();
    } else {
        ++server_.counts_.bodies_without_memory_;
        server_.options_.refuse_body_(reader_.head(), *this);
    }
}

auto http_session::leave_bodies() -> std::shared_ptr<coordination::byte_lease> {
    body_waits_ = false;
    const auto body = std::exchange(body_, std::nullopt);
    return body ? server_.bodies_->leave(*body) : nullptr;
}

auto http_session::continue_if_expected() -> void {
    if (reader_.take_expectation()) {
        stream_->write("HTTP/1.1 100 Continue\r\n\r\n");
    }
}

auto http_session::discard(std::size_t bytes) -> void {
    const auto now = server_.clock_.now();
    since_ = std::min(now, linger_limit_);
    discarded_bytes_ += bytes;
    server_.counts_.discarded_bytes_ += bytes;
    if (discarded_bytes_ > server_.options_.discarded_bytes_ ||
        !server_.discards_.take(bytes, now)) {
        // The client may still read its answer until the linger time is over.
        ++server_.counts_.discards_ended_;
        stream_->set_reading(false);
    }
}

auto http_session::refuse_malformed() -> void {
    (void)leave_bodies();
    busy_ = true;
    keep_alive_ = false;
    respond(status_of(reader_.fault()), {}, "");
}

auto http_session::respond(int status, const header_list& headers,
                           std::string_view body) -> void {
    if (!stream_ || !busy_) {
        return;
    }
    keep_alive_ = keep_alive_ && !server_.draining_;
    auto output = write_head(status, headers, body_framing::length, body.size(),
                             keep_alive_);
    if (!without_body_) {
        output.append(body);
    }
    stream_->write(output);
    finish_answer();
}

auto http_session::begin_stream(int status, const header_list& headers)
    -> void {
    if (!stream_ || !busy_) {
        return;
    }
    keep_alive_ = keep_alive_ && !server_.draining_;
    stream_->write(
        write_head(status, headers, stream_framing_, 0, keep_alive_));
}

auto http_session::write_piece(std::string_view piece) -> void {
    if (!stream_ || piece.empty() || without_body_) {
        return;
    }
    if (stream_framing_ != body_framing::chunked) {
        stream_->write(piece);
        count_output();
        return;
    }
    static thread_local auto chunk = std::string{};
    chunk.clear();
    append_chunk(chunk, piece);
    stream_->write(chunk);
    count_output();
}

auto http_session::end_stream() -> void {
    if (stream_) {
        if (stream_framing_ == body_framing::chunked && !without_body_) {
            stream_->write(last_chunk);
        }
        finish_answer();
    }
}

auto http_session::abort() -> void {
    observer_ = nullptr;
    if (stream_) {
        stream_->reset();
        close();
    }
}

auto http_session::count_output() -> void {
    if (output_lease_) {
        output_lease_->hold(buffered());
    }
}

auto http_session::finish_answer() -> void {
    count_output();
    observer_ = nullptr;
    busy_ = false;
    since_ = server_.clock_.now();
    delivery_deadline_ = std::max(delivery_deadline_, since_ + linger_time);
    if (!keep_alive_) {
        begin_linger();
    }
}

auto http_session::begin_linger() -> void {
    lingering_ = true;
    discarded_bytes_ = 0;
    // Gives back the memory of a body that was refused.
    reader_.reset(server_.options_.limits_);
    stream_->set_reading(true);
    since_ = server_.clock_.now();
    linger_limit_ = since_ + max_linger_time;
    stream_->finish_writing();
}

auto http_session::buffered() const -> std::size_t {
    return stream_ ? stream_->buffered() : 0;
}

auto http_session::on_drained() -> void {
    count_output();
    if (observer_ != nullptr) {
        observer_->on_client_drained();
    }
}

auto http_session::note_output(time_point now) -> void {
    const auto sent = stream_->sent();
    if (sent != sent_bytes_ || buffered() == 0) {
        sent_bytes_ = sent;
        output_since_ = now;
    }
}

auto http_session::refuse_late_request() -> void {
    busy_ = true;
    keep_alive_ = false;
    respond(request_timeout_status, {}, "");
}

auto http_session::check(time_point now) -> void {
    count_output();
    note_output(now);
    const auto waited = now - since_;
    if (!busy_ && buffered() > 0 && now > delivery_deadline_) {
        report_cut(close_reason::timed_out);
        abort();
        return;
    }
    if (lingering_) {
        if (waited > linger_time && buffered() == 0) {
            close();
        }
        return;
    }
    if (busy_) {
        return;
    }
    const auto& options = server_.options_;
    if (body_waits_) {
        return;
    }
    if (reader_.started() && !reader_.header_complete()) {
        if (waited > options.header_timeout_) {
            refuse_late_request();
        }
    } else if (waited > options.idle_timeout_ + idle_margin) {
        close();
    } else if (reader_.header_complete() && !body_ &&
               now - began_at_ >
                   std::max(options.max_request_time_, options.idle_timeout_) +
                       idle_margin) {
        refuse_late_request();
    }
}

auto http_session::close_if_idle() -> void {
    if (!busy_ && !lingering_ && !request_begun()) {
        begin_linger();
    }
}

auto http_session::waiting_since() const -> std::optional<time_point> {
    if (busy_ || body_waits_ || buffered() > 0) {
        return std::nullopt;
    }
    return since_;
}

auto http_session::awaiting_memory_since() const -> std::optional<time_point> {
    return body_waits_ ? std::optional{body_waits_since_} : std::nullopt;
}

auto http_session::request_begun() const -> bool {
    return reader_.started() || reader_.header_complete();
}

auto http_session::receiving(time_point began_by) const -> bool {
    return !busy_ && !lingering_ && request_begun() && began_at_ <= began_by;
}

http_session_server::http_session_server(reactor_thread& thread,
                                         const clock& time,
                                         http_session_options options,
                                         request_handler handler)
    : thread_{thread}, clock_{time}, options_{std::move(options)},
      handler_{std::move(handler)}, bodies_{options_.bodies_}, discards_{
                                                                   time.now()} {
    if (bodies_ == nullptr && options_.body_budget_ != nullptr) {
        own_bodies_ = std::make_unique<coordination::body_admission>(
            *options_.body_budget_, coordination::body_admission_settings{});
        bodies_ = own_bodies_.get();
    }
}

http_session_server::~http_session_server() = default;

auto http_session_server::open(reactor_thread& thread, const clock& time,
                               http_session_options options,
                               request_handler handler)
    -> result<std::unique_ptr<http_session_server>> {
    auto server = std::make_unique<http_session_server>(
        thread, time, std::move(options), std::move(handler));
    if (auto opened = server->listen(); !opened) {
        return tl::unexpected(opened.error());
    }
    return server;
}

auto http_session_server::listen() -> result<void> {
    auto listener = tcp_listener::open(
        thread_, options_.address_,
        [this](int descriptor) {
            sessions_.insert(std::make_shared<http_session>(*this, descriptor));
        },
        [this] { return make_room(); });
    if (!listener) {
        return tl::unexpected(listener.error());
    }
    listener_ = std::move(*listener);
    listener_->set_accepting(!options_.defers_accepting_);
    if (options_.receive_buffer_bytes_ > 0) {
        listener_->bound_segments();
    }
    return {};
}

auto http_session_server::begin_accepting() -> void {
    options_.defers_accepting_ = false;
    if (listener_) {
        listener_->set_accepting(true);
    }
}

auto http_session_server::set_limits(const request_limits& limits,
                                     milliseconds header_timeout,
                                     milliseconds idle_timeout) -> void {
    options_.limits_ = limits;
    options_.header_timeout_ = header_timeout;
    options_.idle_timeout_ = idle_timeout;
}

auto http_session_server::make_room() -> bool {
    if (sessions_.size() < options_.max_sessions_) {
        return true;
    }
    auto longest = find_longest(&http_session::waiting_since);
    if (!longest) {
        // Otherwise bodies that wait for memory would keep out all others.
        longest = find_longest(&http_session::awaiting_memory_since);
    }
    if (longest) {
        longest->close();
    }
    return longest != nullptr;
}

auto http_session_server::find_longest(std::optional<time_point> (
    http_session::*since)() const) const -> std::shared_ptr<http_session> {
    auto longest = std::shared_ptr<http_session>{};
    auto longest_since = time_point::max();
    for (const auto& session : sessions_) {
        const auto from = ((*session).*since)();
        if (from && *from < longest_since) {
            longest = session;
            longest_since = *from;
        }
    }
    return longest;
}

auto http_session_server::sweep() -> void {
    const auto now = clock_.now();
    if (bodies_ != nullptr) {
        bodies_->decide(now);
    }
    const auto sessions = std::vector<std::shared_ptr<http_session>>{
        sessions_.begin(), sessions_.end()};
    for (const auto& session : sessions) {
        session->check(now);
    }
}

auto http_session_server::end_unread_answers(std::size_t wanted) -> void {
    const auto now = clock_.now();
    auto answers = std::vector<coordination::unread_answer>{};
    auto by_id =
        std::unordered_map<std::uint64_t, std::shared_ptr<http_session>>{};
    for (const auto& session : sessions_) {
        answers.push_back(
            {session->id_, session->buffered(), now - session->output_since_});
        by_id[session->id_] = session;
    }
    for (const auto id : coordination::choose_unread(std::move(answers), wanted,
                                                     unread_grace)) {
        ++counts_.unread_answers_ended_;
        const auto session = by_id.at(id);
        session->stream_->reset();
        session->on_closed(close_reason::timed_out);
    }
}

auto http_session_server::close_idle() -> void {
    const auto sessions = std::vector<std::shared_ptr<http_session>>{
        sessions_.begin(), sessions_.end()};
    for (const auto& session : sessions) {
        session->close_if_idle();
    }
}

auto http_session_server::busy() const -> std::size_t {
    auto count = std::size_t{0};
    for (const auto& session : sessions_) {
        count += session->busy() ? 1U : 0U;
    }
    return count;
}

auto http_session_server::undelivered() const -> std::size_t {
    return static_cast<std::size_t>(std::count_if(
        sessions_.begin(), sessions_.end(), [](const auto& session) {
            return !session->busy() && session->buffered() > 0;
        }));
}

auto http_session_server::receiving(time_point began_by) const -> std::size_t {
    return static_cast<std::size_t>(std::count_if(
        sessions_.begin(), sessions_.end(), [began_by](const auto& session) {
            return session->receiving(began_by);
        }));
}

} // namespace basilstream::transport
