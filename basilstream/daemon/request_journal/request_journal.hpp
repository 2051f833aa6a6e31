/// Remembers how the last requests ended, for operators who ask by a request's
/// id.
///
///     journal.add({.request_id_ = "9c41", .outcome_ = "refused", ...});
///     for (const auto& entry : journal.find("9c41")) { ... }
///
/// Bounded: answered requests and others have room of their own, so that a
/// failure is not pushed out by the answers that follow it. Not safe for
/// concurrent use.
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

/// The end of a request, and what decided it.
struct request_record {
    std::string request_id_;
    request_outcome outcome_ = request_outcome::answered;
    time_point ended_{};
    std::string route_;
    std::string service_;
    std::string model_;
    std::string adapter_;
    /// The last backend server that it was sent to; empty if there was none.
    std::string backend_;
    /// Status of a backend server's answer; 0 if the answer was our own.
    int status_ = 0;
    /// Set unless answered.
    error_code code_ = error_code::unavailable;
    step step_ = step::attempt;
    run_status run_ = run_status::not_run;
    std::string detail_;
    /// What was decided on a further attempt.
    std::string_view retry_ = "not_asked";
    int attempts_ = 0;
    std::uint64_t events_ = 0;
    /// Requests on the backend server when it was chosen, as this daemon saw.
    double backend_load_ = 0;
    milliseconds waited_{0};
    std::uint64_t config_version_ = 0;
};

/// Returns the record in lines for operators; `now` tells its age.
[[nodiscard]] auto describe(const request_record& entry, time_point now)
    -> std::vector<std::string>;

class request_journal {
public:
    /// `capacity`: records of answered requests, and as many of others. 2048 of
    /// each take about a megabyte and last for minutes on one daemon of a large
    /// deployment.
    explicit request_journal(std::size_t capacity = 2048)
        : capacity_{capacity} {}

    auto add(request_record entry) -> void;
    /// Returns the records of a request, the oldest first; its client may have
    /// sent it again under the same id.
    [[nodiscard]] auto find(std::string_view request_id) const
        -> std::vector<request_record>;
    [[nodiscard]] auto size() const -> std::size_t {
        return answered_.size() + others_.size();
    }

private:
    std::size_t capacity_;
    std::deque<request_record> answered_;
    std::deque<request_record> others_;
};

} // namespace basilstream::daemon
