/// Keeps records of the most recently ended requests for look-up by request
/// id.
///
///     journal.add({.request_id_ = "9c41", .outcome_ = "refused", ...});
///     for (const auto& entry : journal.find("9c41")) { ... }
///
/// Answered and unanswered requests have separate capacities, so that answered
/// requests do not evict the records of earlier failures. Not thread-safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/base/error/error.hpp"
#include "basilstream/base/name_table/name_table.hpp"

namespace basilstream::daemon {

enum class request_outcome : std::uint8_t { answered, refused, failed };

inline constexpr auto request_outcome_names =
    name_table<request_outcome, 3>{{{{request_outcome::answered, "answered"},
                                     {request_outcome::refused, "refused"},
                                     {request_outcome::failed, "failed"}}}};

/// Outcome of a request and its cause.
struct request_record {
    std::string request_id_;
    request_outcome outcome_ = request_outcome::answered;
    time_point ended_at_{};
    std::string route_;
    std::string service_;
    std::string model_;
    std::string adapter_;
    /// Backend server of the last attempt; empty if there was no attempt.
    std::string backend_;
    /// HTTP status of the backend server's answer; 0 if the daemon itself
    /// answered.
    int status_ = 0;
    /// Cause of a refusal or failure; not set if the request was answered.
    error_code code_ = error_code::unavailable;
    step step_ = step::attempt;
    run_status run_ = run_status::not_run;
    std::string detail_;
    /// Decision of the retry policy on a further attempt.
    std::string_view retry_ = "not_asked";
    int attempts_ = 0;
    /// Stream events forwarded to the client.
    std::uint64_t events_ = 0;
    /// Requests on the backend server when it was selected, as known to this
    /// daemon.
    double backend_load_ = 0;
    /// Time from the arrival of the request to its end.
    milliseconds duration_{0};
    std::uint64_t config_version_ = 0;
};

/// Returns a description of the record in lines for operators. Its age is
/// computed from `now`.
[[nodiscard]] auto describe(const request_record& entry, time_point now)
    -> std::vector<std::string>;

class request_journal {
public:
    /// Keeps at most `capacity` records of answered requests and as many of
    /// unanswered ones. 2048 of each take about 1 MB and cover several minutes
    /// on one daemon of a large deployment.
    explicit request_journal(std::size_t capacity = 2048)
        : capacity_{capacity} {}

    auto add(request_record entry) -> void;
    /// Returns the records of a request, oldest first. There can be several, as
    /// a client may send a request again under the same id.
    [[nodiscard]] auto find(std::string_view request_id) const
        -> std::vector<request_record>;
    [[nodiscard]] auto size() const -> std::size_t {
        return answered_.size() + unanswered_.size();
    }

private:
    std::size_t capacity_;
    std::deque<request_record> answered_;
    std::deque<request_record> unanswered_;
};

} // namespace basilstream::daemon
