/// Logic of the stand-in log service, without I/O: named streams of opaque
/// records with offsets, limited retention, an append rate and outages.
///
///     auto log = log_store{{.appends_per_second_ = 300}, time};
///     log.append("config", {"record"});      // offset 0
///     log.read("config", 0, 100);
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "basilstream/base/clock/clock.hpp"

namespace basilstream::testing {

/// Limits of the service; 0 means unlimited.
struct log_settings {
    double appends_per_second_ = 0;
    std::uint64_t retained_records_ = 0;
    duration retained_time_ = duration{0};
};

/// Largest append, in bytes of its records.
inline constexpr std::uint64_t max_append_bytes = 1 << 20;

enum class log_status {
    ok,
    rate_limited,
    too_large,
    /// The asked offset is below the retained head.
    out_of_range,
};

struct append_answer {
    log_status status_ = log_status::ok;
    std::uint64_t first_offset_ = 0;
    std::uint64_t count_ = 0;
};

struct stream_bounds {
    std::uint64_t first_offset_ = 0;
    std::uint64_t next_offset_ = 0;
};

struct log_entry {
    std::uint64_t offset_ = 0;
    std::string payload_ = {};
};

struct read_answer {
    log_status status_ = log_status::ok;
    stream_bounds bounds_ = {};
    std::vector<log_entry> entries_ = {};
};

/// The log. Not safe for concurrent use.
class log_store {
public:
    log_store(log_settings settings, const clock& time);

    /// Appends all records contiguously, or none. Counts once against the
    /// rate, which allows bursts of one second's appends.
    auto append(const std::string& stream, std::vector<std::string> records)
        -> append_answer;

    /// Returns up to `max` records from offset `from` on; none when `from` is
    /// at or past the end.
    auto read(const std::string& stream, std::uint64_t from, std::uint64_t max)
        -> read_answer;

    auto bounds(const std::string& stream) -> stream_bounds;

    /// Changes the limits; a shorter retention takes effect at once.
    auto set_settings(log_settings settings) -> void;
    [[nodiscard]] auto settings() const -> const log_settings& {
        return settings_;
    }

    /// Appends that were asked for and those over the rate.
    [[nodiscard]] auto appends() const -> std::uint64_t { return appends_; }
    [[nodiscard]] auto refusals() const -> std::uint64_t { return refusals_; }

private:
    struct stored_record {
        time_point at_ = {};
        std::string payload_ = {};
    };
    struct stream_data {
        std::uint64_t first_offset_ = 0;
        std::deque<stored_record> records_ = {};
    };

    auto take_permit() -> bool;
    auto expire(stream_data& stream) -> void;

    log_settings settings_;
    const clock& clock_;
    double permits_ = 0;
    time_point refilled_;
    std::uint64_t appends_ = 0;
    std::uint64_t refusals_ = 0;
    std::map<std::string, stream_data> streams_;
};

} // namespace basilstream::testing
