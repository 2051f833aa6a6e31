/// State of one request's answer, shared between libmicrohttpd's thread and
/// the threads that produce the answer. For http_server only.
#pragma once

#include <mutex>
#include <string>

#include <microhttpd.h>

#include "basilstream/transport/http_server/http_server.hpp"

namespace basilstream::transport::internal {

/// An exchange bound to a libmicrohttpd connection. The connection is
/// suspended whenever there is nothing to send; every resume happens under the
/// mutex, so that no wake-up is lost.
class exchange final : public http_exchange,
                       public std::enable_shared_from_this<exchange> {
public:
    exchange(MHD_Connection* connection, std::size_t buffer_limit);

    auto respond(int status, header_list headers, std::string body)
        -> void override;
    auto start(int status, header_list headers) -> void override;
    auto write(std::string_view piece) -> write_state override;
    auto finish() -> void override;
    auto abort() -> void override;
    auto on_writable(std::function<void()> callback) -> void override;
    auto on_closed(std::function<void()> callback) -> void override;
    [[nodiscard]] auto started() const -> bool override;

    /// Suspends the connection until an answer is begun. Server thread.
    auto await_answer() -> void;
    /// Queues the answer if one was begun, else suspends again. Server thread.
    auto queue_answer() -> MHD_Result;
    /// Copies waiting bytes for libmicrohttpd. Server thread.
    auto read(char* target, std::size_t size) -> ssize_t;
    /// The connection is over. Server thread.
    auto complete() -> void;
    /// Breaks the exchange off if the client has closed its side.
    auto check_client() -> void;
    /// Breaks off whatever is open, for the server's end.
    auto shut_down() -> void;

private:
    enum class phase { waiting, whole, streaming, finished, aborted, closed };

    auto resume_locked() -> void;
    auto client_closed_locked() const -> bool;
    auto take_closed_callback_locked() -> std::function<void()>;
    auto queue_locked(MHD_Response* response) -> MHD_Result;

    mutable std::mutex mutex_;
    MHD_Connection* connection_;
    std::size_t buffer_limit_;
    phase phase_ = phase::waiting;
    bool suspended_ = false;
    bool queued_ = false;
    bool over_limit_ = false;
    int status_ = 0;
    header_list headers_;
    std::string buffer_;
    std::size_t consumed_ = 0;
    std::function<void()> writable_;
    std::function<void()> closed_;
    bool close_reported_ = false;
};

} // namespace basilstream::transport::internal
