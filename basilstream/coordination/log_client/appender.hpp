/// Append side of the log client; included through log_client.hpp.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/base/error/error.hpp"
#include "basilstream/base/name_table/name_table.hpp"
#include "basilstream/base/random/random.hpp"
#include "basilstream/state/machine/machine.hpp"
#include "basilstream/state/record/record.hpp"

namespace basilstream::coordination {

/// What an append is for; each purpose has its own budget. Earlier ones go
/// first.
enum class append_purpose { claims, orders, configuration, snapshots };

inline constexpr auto append_purpose_count = std::size_t{4};

/// Names of purposes, for metrics.
inline constexpr auto append_purpose_names =
    name_table<append_purpose, append_purpose_count>{
        {{{append_purpose::claims, "claims"},
          {append_purpose::orders, "orders"},
          {append_purpose::configuration, "configuration"},
          {append_purpose::snapshots, "snapshots"}}}};

/// Records that a purpose may append.
struct append_budget {
    double records_per_second_ = 100.0;
    double burst_ = 200.0;
};

/// Settings of an appender.
struct appender_options {
    /// Append calls a second: this daemon's share of the log's rate.
    double appends_per_second_ = 10.0;
    double append_burst_ = 5.0;
    /// By purpose.
    std::array<append_budget, append_purpose_count> budgets_{{
        {50.0, 100.0},
        {200.0, 400.0},
        {100.0, 200.0},
        {50.0, 100.0},
    }};
    std::size_t max_batch_records_ = 256;
    /// Below the log's limit of 1 MiB, with room for framing.
    std::size_t max_batch_bytes_ = 768UL * 1024UL;
    /// Records that may wait, for each purpose.
    std::size_t max_queued_ = 4096;
    duration first_backoff_ = std::chrono::milliseconds{100};
    duration max_backoff_ = std::chrono::seconds{10};
    /// Time after which an append without answer counts as unknown.
    duration answer_timeout_ = std::chrono::seconds{5};
    state::log_offset window_ = state::duplicate_window;
};

/// One append call. Records are to be encoded and sent in this order.
struct append_batch {
    std::uint64_t ticket_ = 0;
    std::vector<state::envelope> records_;
};

/// What became of a submitted record.
enum class append_fate {
    /// Read back and judged.
    judged,
    /// It never took effect and never will.
    never,
    /// It may lie among records that this daemon skipped when it started over
    /// from a snapshot. The state says what holds now.
    unseen,
};

/// Names of fates.
inline constexpr auto append_fate_names =
    name_table<append_fate, 3>{{{{append_fate::judged, "judged"},
                                 {append_fate::never, "never"},
                                 {append_fate::unseen, "unseen"}}}};

/// Final fate of a submitted record.
struct append_resolution {
    state::record_id id_;
    append_purpose purpose_ = append_purpose::orders;
    append_fate fate_ = append_fate::judged;
    /// Set when judged.
    std::optional<state::log_offset> offset_;
    state::apply_outcome outcome_;

    /// Returns whether the record was read back and found valid.
    [[nodiscard]] auto accepted() const -> bool {
        return fate_ == append_fate::judged && outcome_.valid();
    }
};

/// Token bucket on injected time.
class token_bucket {
public:
    token_bucket(double per_second, double burst)
        : per_second_{per_second}, burst_{burst}, tokens_{burst} {}

    /// Adds what `now` has earned and returns the tokens at hand.
    auto available(time_point now) -> double;
    auto take(double tokens) -> void { tokens_ -= tokens; }

private:
    double per_second_;
    double burst_;
    double tokens_;
    std::optional<time_point> updated_;
};

/// Queues, batches and paces appends, and finds out by reading what became of
/// each: an answer that is missing or an error says nothing, so the record is
/// appended again under the same id until it is read back or has expired.
/// Sans-I/O; not safe for concurrent use.
class appender {
public:
    /// `random` must outlive the appender.
    appender(appender_options options, random_source& random);

    /// Queues a record; `position` is the offset up to which the caller has
    /// read. Error overloaded at step log when the purpose's queue is full.
    auto submit(append_purpose purpose, state::record body,
                state::log_offset position) -> result<state::record_id>;

    /// Returns the next append call when pacing and back-off allow one and
    /// none is in flight.
    auto poll(time_point now) -> std::optional<append_batch>;

    /// The call `ticket` was answered: its records start at `first_offset`.
    auto on_accepted(std::uint64_t ticket, state::log_offset first_offset)
        -> void;

    /// The call `ticket` failed or was not answered: outcome unknown.
    /// `retry_after` is the log's hint.
    auto on_failed(std::uint64_t ticket, std::optional<duration> retry_after,
                   time_point now) -> void;

    /// A record was read back at `offset` and judged.
    auto on_record(const state::record_id& id, state::log_offset offset,
                   state::apply_outcome outcome) -> void;

    /// Every record below `next` has been read. Resolves what has expired and
    /// queues again what an accepted call did not leave in the log.
    auto on_position(state::log_offset next) -> void;

    /// The reader starts over from a snapshot and skips records: what was
    /// sent may lie among them, so it is queued again.
    auto on_restart() -> void;

    /// Returns the fates that became known since the last call.
    auto take_resolutions() -> std::vector<append_resolution>;

    /// Returns whether the fate of `id` is still open.
    [[nodiscard]] auto pending(const state::record_id& id) const -> bool {
        return entries_.contains(id);
    }
    /// Returns the records of a purpose whose fate is open.
    [[nodiscard]] auto pending_count(append_purpose purpose) const
        -> std::size_t {
        return pending_[static_cast<std::size_t>(purpose)];
    }
    /// Returns whether the last call failed.
    [[nodiscard]] auto in_outage() const -> bool { return failures_ > 0; }

private:
    struct entry {
        append_purpose purpose_ = append_purpose::orders;
        state::envelope envelope_;
        std::size_t bytes_ = 0;
        bool queued_ = true;
        // Whether records were skipped since it was first sent.
        bool maybe_skipped_ = false;
        std::optional<state::log_offset> landed_;
    };

    auto gather(append_purpose purpose, time_point now, append_batch& batch,
                std::size_t& bytes) -> void;
    auto requeue(const std::vector<state::record_id>& ids) -> void;
    auto resolve(const state::record_id& id, append_fate fate,
                 std::optional<state::log_offset> offset,
                 state::apply_outcome outcome) -> void;
    auto back_off(std::optional<duration> retry_after, time_point now) -> void;

    appender_options options_;
    random_source* random_;
    token_bucket calls_;
    std::vector<token_bucket> budgets_;
    std::array<std::deque<state::record_id>, append_purpose_count> queues_;
    std::array<std::size_t, append_purpose_count> pending_{};
    std::unordered_map<state::record_id, entry, state::record_id_hash> entries_;
    // Unresolved ids by submission, for expiry in order.
    std::deque<state::record_id> by_age_;
    std::vector<append_resolution> resolutions_;
    std::uint64_t next_ticket_ = 1;
    std::optional<std::uint64_t> in_flight_;
    std::vector<state::record_id> in_flight_ids_;
    time_point sent_at_{};
    time_point not_before_{};
    std::uint32_t failures_ = 0;
};

/// Returns about how many bytes `item` takes on the wire.
[[nodiscard]] auto estimated_size(const state::snapshot_item& item)
    -> std::size_t;

/// Returns about how many bytes `body` takes on the wire.
[[nodiscard]] auto estimated_size(const state::record& body) -> std::size_t;

} // namespace basilstream::coordination
