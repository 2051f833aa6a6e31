#include "basilstream/transport/http_server/internal/exchange.hpp"

#include <algorithm>
#include <cstring>
#include <utility>

#include <sys/socket.h>

namespace basilstream::transport::internal {
namespace {

// Bytes that libmicrohttpd asks for in one read of a stream.
constexpr auto stream_block_bytes = std::size_t{2048};

auto read_stream(void* context, std::uint64_t /*position*/, char* target,
                 std::size_t size) -> ssize_t {
    const auto& shared = *static_cast<std::shared_ptr<exchange>*>(context);
    return shared->read(target, size);
}

auto release_stream(void* context) -> void {
    delete static_cast<std::shared_ptr<exchange>*>(context);
}

} // namespace

exchange::exchange(MHD_Connection* connection, std::size_t buffer_limit)
    : connection_{connection}, buffer_limit_{buffer_limit} {}

auto exchange::respond(int status, header_list headers, std::string body)
    -> void {
    const auto lock = std::lock_guard{mutex_};
    if (phase_ != phase::waiting) {
        return;
    }
    status_ = status;
    headers_ = std::move(headers);
    buffer_ = std::move(body);
    phase_ = phase::whole;
    resume_locked();
}

auto exchange::start(int status, header_list headers) -> void {
    const auto lock = std::lock_guard{mutex_};
    if (phase_ != phase::waiting) {
        return;
    }
    status_ = status;
    headers_ = std::move(headers);
    phase_ = phase::streaming;
    resume_locked();
}

auto exchange::write(std::string_view piece) -> write_state {
    const auto lock = std::lock_guard{mutex_};
    if (phase_ != phase::streaming) {
        return write_state::closed;
    }
    buffer_.append(piece);
    resume_locked();
    over_limit_ = buffer_.size() - consumed_ > buffer_limit_;
    return over_limit_ ? write_state::full : write_state::accepted;
}

auto exchange::finish() -> void {
    const auto lock = std::lock_guard{mutex_};
    if (phase_ == phase::streaming) {
        phase_ = phase::finished;
        resume_locked();
    }
}

auto exchange::abort() -> void {
    const auto lock = std::lock_guard{mutex_};
    if (phase_ == phase::streaming) {
        phase_ = phase::aborted;
        resume_locked();
    }
}

auto exchange::on_writable(std::function<void()> callback) -> void {
    const auto lock = std::lock_guard{mutex_};
    writable_ = std::move(callback);
}

auto exchange::on_closed(std::function<void()> callback) -> void {
    auto due = std::function<void()>{};
    {
        const auto lock = std::lock_guard{mutex_};
        closed_ = std::move(callback);
        if (phase_ == phase::closed) {
            due = take_closed_callback_locked();
        }
    }
    if (due) {
        due();
    }
}

auto exchange::started() const -> bool {
    const auto lock = std::lock_guard{mutex_};
    return phase_ != phase::waiting;
}

auto exchange::await_answer() -> void {
    const auto lock = std::lock_guard{mutex_};
    suspended_ = true;
    MHD_suspend_connection(connection_);
}

auto exchange::queue_answer() -> MHD_Result {
    const auto lock = std::lock_guard{mutex_};
    if (queued_ || phase_ == phase::closed) {
        return MHD_NO;
    }
    if (phase_ == phase::waiting) {
        suspended_ = true;
        MHD_suspend_connection(connection_);
        return MHD_YES;
    }
    queued_ = true;
    if (phase_ == phase::whole) {
        return queue_locked(MHD_create_response_from_buffer(
            buffer_.size(), buffer_.data(), MHD_RESPMEM_MUST_COPY));
    }
    return queue_locked(MHD_create_response_from_callback(
        MHD_SIZE_UNKNOWN, stream_block_bytes, read_stream,
        new std::shared_ptr<exchange>{shared_from_this()}, release_stream));
}

auto exchange::queue_locked(MHD_Response* response) -> MHD_Result {
    for (const auto& [name, value] : headers_) {
        MHD_add_response_header(response, name.c_str(), value.c_str());
    }
    const auto queued = MHD_queue_response(
        connection_, static_cast<unsigned>(status_), response);
    MHD_destroy_response(response);
    return queued;
}

auto exchange::read(char* target, std::size_t size) -> ssize_t {
    auto writable = std::function<void()>{};
    auto count = std::size_t{0};
    {
        const auto lock = std::lock_guard{mutex_};
        count = std::min(size, buffer_.size() - consumed_);
        if (count == 0 && phase_ == phase::aborted) {
            return MHD_CONTENT_READER_END_WITH_ERROR;
        }
        if (count == 0 && phase_ == phase::finished) {
            return MHD_CONTENT_READER_END_OF_STREAM;
        }
        if (count == 0) {
            suspended_ = true;
            MHD_suspend_connection(connection_);
            return 0;
        }
        std::memcpy(target, buffer_.data() + consumed_, count);
        consumed_ += count;
        if (consumed_ == buffer_.size()) {
            buffer_.clear();
            consumed_ = 0;
        }
        if (over_limit_ && buffer_.size() - consumed_ <= buffer_limit_ / 2) {
            over_limit_ = false;
            writable = writable_;
        }
    }
    if (writable) {
        writable();
    }
    return static_cast<ssize_t>(count);
}

auto exchange::complete() -> void {
    auto due = std::function<void()>{};
    {
        const auto lock = std::lock_guard{mutex_};
        const auto was_whole =
            phase_ == phase::whole ||
            (phase_ == phase::finished && consumed_ == buffer_.size());
        phase_ = phase::closed;
        connection_ = nullptr;
        if (was_whole) {
            closed_ = nullptr;
        }
        due = take_closed_callback_locked();
        writable_ = nullptr;
    }
    if (due) {
        due();
    }
}

auto exchange::check_client() -> void {
    auto due = std::function<void()>{};
    {
        const auto lock = std::lock_guard{mutex_};
        if (!suspended_ || !client_closed_locked()) {
            return;
        }
        due = take_closed_callback_locked();
        if (phase_ == phase::streaming) {
            phase_ = phase::aborted;
        } else if (phase_ == phase::waiting) {
            phase_ = phase::whole;
            status_ = http_status(error_code::cancelled);
        }
        resume_locked();
    }
    if (due) {
        due();
    }
}

auto exchange::shut_down() -> void {
    respond(http_status(error_code::unavailable), {{"Connection", "close"}},
            {});
    abort();
}

auto exchange::resume_locked() -> void {
    if (suspended_ && connection_ != nullptr) {
        suspended_ = false;
        MHD_resume_connection(connection_);
    }
}

auto exchange::client_closed_locked() const -> bool {
    if (connection_ == nullptr) {
        return true;
    }
    const auto* info =
        MHD_get_connection_info(connection_, MHD_CONNECTION_INFO_CONNECTION_FD);
    auto byte = char{};
    return info != nullptr &&
           ::recv(info->connect_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

auto exchange::take_closed_callback_locked() -> std::function<void()> {
    if (!closed_ || close_reported_) {
        return {};
    }
    close_reported_ = true;
    return std::exchange(closed_, nullptr);
}

} // namespace basilstream::transport::internal
