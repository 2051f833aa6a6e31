/// Kept HTTP/1.1 connections to backend servers on a reactor thread. Unlike
/// libcurl, a request is sent on exactly one connection and never again by
/// itself, and its bytes pass on the thread that decides about it.
///
///     auto pool = http_pool{thread, clock, options};
///     auto call = pool.send("10.0.0.9:8080", bytes, false, observer);
///     // observer.on_answer_head(), ..., on_answer_end() or on_call_failed()
///     call->cancel();
///
/// On the reactor's thread only.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/base/error/error.hpp"
#include "basilstream/base/name_table/name_table.hpp"
#include "basilstream/coordination/byte_budget/byte_budget.hpp"
#include "basilstream/transport/http_message/http_message.hpp"
#include "basilstream/transport/reactor/reactor.hpp"
#include "basilstream/transport/tcp_stream/tcp_stream.hpp"

namespace basilstream::transport {

/// Why a call has no whole answer.
enum class call_failure {
    /// No connection was made; no byte of the request has left.
    not_sent,
    /// The connection ended before the answer began.
    no_answer,
    /// The answer broke off.
    incomplete,
    /// The bytes that arrived are no answer.
    malformed,
};

inline constexpr auto call_failure_names =
    name_table<call_failure, 4>{{{{call_failure::not_sent, "not_sent"},
                                  {call_failure::no_answer, "no_answer"},
                                  {call_failure::incomplete, "incomplete"},
                                  {call_failure::malformed, "malformed"}}}};

/// Receives an answer. Exactly one of on_answer_end() and on_call_failed()
/// comes last, unless the call is cancelled.
class answer_observer {
public:
    answer_observer() = default;
    answer_observer(const answer_observer&) = delete;
    auto operator=(const answer_observer&) -> answer_observer& = delete;
    virtual ~answer_observer() = default;

    /// Returns false if this is the answer to another request: it is dropped,
    /// and the connection is not used again.
    virtual auto on_answer_head(const answer_head& head) -> bool = 0;
    virtual auto on_answer_body(std::string_view piece) -> void = 0;
    virtual auto on_answer_end() -> void = 0;
    virtual auto on_call_failed(call_failure failure) -> void = 0;
};

class http_pool;

/// A connection while it serves a call; otherwise it lies in the pool.
class http_call_connection final
    : public tcp_observer,
      public response_sink,
      public std::enable_shared_from_this<http_call_connection> {
public:
    http_call_connection(http_pool& pool, std::string address);
    ~http_call_connection() override;

    /// Ends the call without a word to its observer. The connection closes,
    /// which tells the backend server to stop.
    auto cancel() -> void;
    /// Stops or resumes reading the answer, for back-pressure.
    auto set_reading(bool wanted) -> void;
    /// Returns whether the connection has been made; until then, nothing of the
    /// request has left.
    [[nodiscard]] auto established() const -> bool;
    /// Returns why the connection ended; nothing while it is open or after it
    /// was closed here.
    [[nodiscard]] auto closed_by() const -> std::optional<close_reason> {
        return closed_by_;
    }

    auto on_data(std::string_view bytes) -> void override;
    auto on_closed(close_reason reason) -> void override;
    auto on_head(answer_head head) -> void override;
    auto on_body(std::string_view piece) -> void override;

private:
    friend class http_pool;
    auto start(std::string_view bytes, bool head_request,
               answer_observer& observer) -> void;
    auto read_answers(std::string_view bytes) -> void;
    auto finish() -> void;
    auto fail(call_failure failure) -> void;
    [[nodiscard]] auto reusable() const -> bool;
    [[nodiscard]] auto has_carried(std::string_view id) const -> bool;

    http_pool& pool_;
    std::string address_;
    std::unique_ptr<tcp_stream> stream_;
    std::unique_ptr<response_reader> reader_;
    answer_observer* observer_ = nullptr;
    time_point since_;
    time_point usable_until_;
    // Hashes of the ids of all requests so far.
    std::vector<std::size_t> carried_;
    bool keep_alive_ = true;
    bool foreign_ = false;
    bool seen_foreign_ = false;
    std::optional<close_reason> closed_by_;
};

/// Settings of a pool.
struct http_pool_options {
    milliseconds connect_timeout_{1000};
    /// Kept for an idle connection whose server names no time.
    milliseconds default_idle_{4000};
    /// A connection is not used again within this time of the end that its
    /// server has announced, because the two may cross.
    milliseconds idle_margin_{700};
    tcp_options tcp_ = {};
    /// Bodies of all replies to small calls together.
    std::size_t max_replies_bytes_ = std::size_t{16} << 20U;
};

/// Counters of a pool.
struct http_pool_statistics {
    std::uint64_t opened_ = 0;
    std::uint64_t reused_ = 0;
    std::uint64_t foreign_answers_ = 0;
};

/// The pool. Connections to one address are used last-in first-out.
class http_pool {
public:
    http_pool(reactor_thread& thread, const clock& time,
              http_pool_options options = {});
    http_pool(const http_pool&) = delete;
    auto operator=(const http_pool&) -> http_pool& = delete;
    ~http_pool();

    /// Sends a whole request. Null if `limit` connections to the address are
    /// open and none is idle; the observer then hears nothing. Requests with
    /// the same `id` use different connections: a server may write an earlier
    /// answer once more, and the id does not tell it from that of a further
    /// try. An empty id stands for a request that is never sent again.
    [[nodiscard]] auto send(const std::string& address, std::string_view bytes,
                            bool head_request, int limit,
                            answer_observer& observer, std::string_view id = {})
        -> std::shared_ptr<http_call_connection>;
    /// Closes idle connections whose time is over and those that could not be
    /// made in time; call every 100 ms or so.
    auto sweep() -> void;
    /// Closes the idle connections to an address.
    auto drop_idle(const std::string& address) -> void;

    /// Connections to the address, idle ones included.
    [[nodiscard]] auto open(const std::string& address) const -> int;
    [[nodiscard]] auto statistics() const -> const http_pool_statistics& {
        return statistics_;
    }
    /// Shared by the replies to all small calls in progress.
    [[nodiscard]] auto replies() const
        -> std::shared_ptr<coordination::byte_budget> {
        return replies_;
    }

private:
    friend class http_call_connection;
    using connection_pointer = std::shared_ptr<http_call_connection>;
    struct address_entry {
        std::vector<connection_pointer> busy_;
        std::vector<connection_pointer> idle_;
    };

    // Returns an idle connection that has not carried a request with the id.
    auto take_idle(address_entry& entry, std::string_view id)
        -> connection_pointer;
    auto release(const connection_pointer& connection) -> void;
    auto remove(const connection_pointer& connection) -> void;

    reactor_thread& thread_;
    const clock& clock_;
    http_pool_options options_;
    std::unordered_map<std::string, address_entry> addresses_;
    http_pool_statistics statistics_;
    // Calls, which hold shares of it, may outlive the pool.
    std::shared_ptr<coordination::byte_budget> replies_;
};

/// A small request whose answer is collected.
struct small_call {
    std::string address_;
    std::string method_ = "GET";
    std::string target_;
    /// "Host" is the address unless given here.
    header_list headers_ = {};
    std::string body_ = {};
    milliseconds timeout_{1000};
    /// Connections to the address at most.
    int connections_ = 64;
    /// Body of the reply at most.
    std::size_t max_reply_bytes_ = std::size_t{1} << 20U;
    /// Step named in errors.
    step step_ = step::runner;
};

/// A collected answer.
struct small_reply {
    int status_ = 0;
    header_list headers_;
    std::string body_;
};

/// Makes a small call and hands its answer over. Errors: `unavailable` and
/// not_run if nothing was sent, `payload_too_large` at once beyond the bound of
/// the reply or of all replies, `timeout` or `incomplete_answer` otherwise.
auto fetch(http_pool& pool, reactor_thread& thread, small_call call,
           std::function<void(result<small_reply>)> done) -> void;

} // namespace basilstream::transport
