/// Read side of the log client; included through log_client.hpp.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/base/name_table/name_table.hpp"
#include "basilstream/base/random/random.hpp"
#include "basilstream/state/machine/machine.hpp"
#include "basilstream/state/record/record.hpp"

namespace basilstream::coordination {

/// A record as read; nothing in place of a payload that is torn or foreign.
struct log_entry {
    state::log_offset offset_ = 0;
    std::optional<state::envelope> envelope_;
};

/// A record that was applied, with the judgement on it.
struct applied_record {
    state::log_offset offset_ = 0;
    state::envelope envelope_;
    state::apply_outcome outcome_;
};

/// One read call.
struct read_request {
    enum class kind {
        /// GET of the stream's first and next offset.
        bounds,
        /// GET of records.
        records,
    };
    std::uint64_t ticket_ = 0;
    kind kind_ = kind::bounds;
    state::log_offset from_ = 0;
    std::uint32_t max_records_ = 0;
    std::chrono::milliseconds wait_{0};
};

/// Offsets between which the log holds records.
struct log_bounds {
    /// Oldest retained offset.
    state::log_offset first_ = 0;
    /// One above the newest.
    state::log_offset next_ = 0;
};

/// Phase of a replica's life.
enum class replica_phase {
    /// Asks for the log's bounds.
    probing,
    /// Reads the retained records for the newest whole snapshot.
    scanning,
    /// Applies records up to the end seen at the start.
    catching_up,
    /// Holds the state and follows the log.
    following,
    /// The log lacks both a snapshot and the records before its head.
    stranded,
    /// The stream demands a newer program.
    unsupported,
};

/// Names of phases, for status pages.
inline constexpr auto replica_phase_names = name_table<replica_phase, 6>{
    {{{replica_phase::probing, "probing"},
      {replica_phase::scanning, "scanning"},
      {replica_phase::catching_up, "catching_up"},
      {replica_phase::following, "following"},
      {replica_phase::stranded, "stranded"},
      {replica_phase::unsupported, "unsupported"}}}};

/// Settings of a replica.
struct replica_options {
    std::uint32_t max_records_ = 1024;
    std::chrono::milliseconds long_poll_{1000};
    /// Newest records that are looked through first for a snapshot; the scan
    /// widens eightfold until it finds one.
    state::log_offset scan_records_ = 65536;
    /// Pause after records were read while following: bounds the reads of a
    /// busy stream at the price of its age.
    duration read_interval_{0};
    /// Time without an answer after which a read is asked again.
    duration answer_timeout_ = std::chrono::seconds{5};
    duration first_backoff_ = std::chrono::milliseconds{100};
    duration max_backoff_ = std::chrono::seconds{5};
    /// Pause before the log is looked through again for a snapshot.
    duration stranded_retry_ = std::chrono::seconds{1};
    state::machine_guards guards_ = {};
    state::log_offset window_ = state::duplicate_window;
};

/// Gathers the parts of snapshots and keeps the newest whole one.
class snapshot_collector {
public:
    /// Takes a part that was read at `offset`.
    auto add(const state::snapshot_part& part) -> void;
    /// Forgets everything.
    auto clear() -> void;
    /// Frees the content of the newest whole snapshot; it stays known.
    auto drop_items() -> void;

    /// Returns the offset up to which the newest whole snapshot is complete.
    [[nodiscard]] auto newest() const -> std::optional<state::log_offset>;
    /// Returns the state of the newest whole snapshot; nothing without one or
    /// when it does not match its digest.
    [[nodiscard]] auto restore(state::machine_guards guards,
                               state::log_offset window) const
        -> std::optional<state::machine>;

private:
    struct gathered {
        state::log_offset at_offset_ = 0;
        std::uint64_t digest_ = 0;
        std::map<std::uint32_t, std::vector<state::snapshot_item>> parts_;
    };

    auto drop_oldest() -> void;

    std::map<state::record_id, gathered> open_;
    std::optional<gathered> whole_;
};

/// A daemon's copy of the state, fed from the control stream. Starts from the
/// newest whole snapshot plus the tail and starts over when it fell behind the
/// log's head. Sans-I/O; not safe for concurrent use.
class replica {
public:
    /// `random` must outlive the replica.
    replica(replica_options options, random_source& random);

    /// Returns the next read call when none is in flight and back-off allows.
    auto poll(time_point now) -> std::optional<read_request>;

    /// Answer to a `bounds` call.
    auto on_bounds(std::uint64_t ticket, log_bounds bounds, time_point now)
        -> void;

    /// Answer to a `records` call, offsets ascending. Returns what was
    /// applied; empty while scanning. Entries below the position (doubled by
    /// the transport) are ignored.
    auto on_records(std::uint64_t ticket, std::vector<log_entry> entries,
                    log_bounds bounds, time_point now)
        -> std::vector<applied_record>;

    /// The records asked for are below the log's head: starts over.
    auto on_truncated(std::uint64_t ticket, log_bounds bounds, time_point now)
        -> void;

    /// A call failed or was not answered.
    auto on_failed(std::uint64_t ticket, time_point now) -> void;

    /// Declares this replica's state to be the state at the log's head. Only
    /// for operators, when every daemon is stranded after an outage longer
    /// than the retention: the records that no daemon has read are lost. To be
    /// called on the daemon with the highest position; its snapshot then
    /// frees the others. Returns whether the replica was stranded with a
    /// state.
    auto rebase() -> bool;

    /// Returns whether the state is complete up to the end of the log that was
    /// seen at the start. Stays true through outages.
    [[nodiscard]] auto ready() const -> bool { return ready_; }
    /// Returns whether the last read succeeded and reached the log's end.
    [[nodiscard]] auto current() const -> bool;
    [[nodiscard]] auto phase() const -> replica_phase { return phase_; }
    /// Returns the state; meaningful once ready.
    [[nodiscard]] auto state() const -> const state::machine& {
        return machine_;
    }
    /// Returns the time of the last answer from the log.
    [[nodiscard]] auto last_contact() const -> time_point { return contact_; }
    /// Returns the log's bounds as last seen.
    [[nodiscard]] auto bounds() const -> log_bounds { return bounds_; }
    /// Returns the offset of the newest whole snapshot in the log.
    [[nodiscard]] auto newest_snapshot() const
        -> std::optional<state::log_offset> {
        return snapshots_.newest();
    }
    /// Returns how often the replica started over from a snapshot.
    [[nodiscard]] auto restarts() const -> std::uint64_t { return restarts_; }

private:
    auto take_ticket(std::uint64_t ticket) -> bool;
    auto scan(const std::vector<log_entry>& entries, time_point now) -> void;
    auto begin_scan(time_point now) -> void;
    auto collect(const state::envelope& envelope) -> void;
    auto settle_phase() -> void;
    auto apply(std::vector<log_entry>& entries) -> std::vector<applied_record>;
    auto finish_scan(time_point now) -> void;
    auto start_over() -> void;
    auto note_success(log_bounds bounds, time_point now) -> void;
    auto back_off(time_point now) -> void;

    replica_options options_;
    random_source* random_;
    state::machine machine_;
    snapshot_collector snapshots_;
    replica_phase phase_ = replica_phase::probing;
    bool ready_ = false;
    log_bounds bounds_;
    state::log_offset scan_position_ = 0;
    state::log_offset scan_from_ = 0;
    state::log_offset scan_width_ = 0;
    state::log_offset start_end_ = 0;
    std::uint64_t next_ticket_ = 1;
    std::optional<std::uint64_t> in_flight_;
    time_point sent_at_{};
    time_point not_before_{};
    time_point contact_{};
    std::uint32_t failures_ = 0;
    std::uint64_t restarts_ = 0;
};

} // namespace basilstream::coordination
