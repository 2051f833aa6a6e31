/// The stand-in log service over HTTP, as docs/protocols.md has it, with
/// `GET /testing/books` and `POST /testing/faults`.
#pragma once

#include <list>
#include <string>
#include <vector>

#include "testing/log_store/log_store.hpp"
#include "testing/program/program.hpp"

namespace basilstream::testing {

/// Faults; counts say how many of the next appends are affected.
struct log_faults {
    /// Every call is answered 503 without effect.
    bool outage_ = false;
    /// Appends that take effect and whose connection then breaks.
    std::uint64_t lost_answers_ = 0;
    /// Appends that take effect and are answered 503.
    std::uint64_t false_errors_ = 0;
    /// Appends that are answered 503 and take effect `late_ms_` later.
    std::uint64_t late_effects_ = 0;
    std::uint64_t late_ms_ = 1000;
    /// Every answer is held for this long.
    std::uint64_t delay_ms_ = 0;
};

/// One log service. Its state lives on the stand-in's thread.
class log_server {
public:
    log_server(log_settings settings, const clock& time);

    /// Listens; see `stand_in::open`.
    [[nodiscard]] auto open(const std::string& address, std::uint16_t port)
        -> bool;

private:
    struct waiting_read {
        std::string stream_;
        std::uint64_t from_ = 0;
        std::uint64_t max_ = 0;
        time_point until_ = {};
        std::string peer_;
        transport::http_exchange_ptr reply_;
    };
    using handler = void (log_server::*)(const transport::http_request&,
                                         const transport::http_exchange_ptr&);
    struct answer {
        int status_ = 200;
        transport::header_list headers_ = {};
        std::string body_ = {};
    };

    auto add(std::string method, std::string path, handler serve) -> void;
    auto serve_stream(const transport::http_request& request,
                      const transport::http_exchange_ptr& reply) -> void;
    auto append(const std::string& stream, const std::string& body,
                const transport::http_exchange_ptr& reply) -> void;
    auto apply(const std::string& stream,
               const std::vector<std::string>& records) -> answer;
    auto read(const std::string& stream, const transport::http_request& request,
              const transport::http_exchange_ptr& reply) -> void;
    auto try_read(const waiting_read& waiting) -> bool;
    auto poll_reads() -> void;
    auto give_books(const transport::http_request& request,
                    const transport::http_exchange_ptr& reply) -> void;
    auto set_faults(const transport::http_request& request,
                    const transport::http_exchange_ptr& reply) -> void;
    auto send(const transport::http_exchange_ptr& reply, answer what) -> void;

    const clock& clock_;
    log_store store_;
    log_faults faults_;
    std::uint64_t unavailable_answers_ = 0;
    std::list<waiting_read> reads_;
    stand_in stand_in_;
};

} // namespace basilstream::testing
