/// Snapshots of the state; included through log_client.hpp.
#pragma once

#include <cstdint>
#include <vector>

#include "basilstream/coordination/log_client/appender.hpp"
#include "basilstream/coordination/log_client/replica.hpp"

namespace basilstream::coordination {

/// Settings of a snapshot writer.
struct snapshot_options {
    /// Records after which the state is written again.
    state::log_offset every_records_ = 32768;
    /// Time after which the state is written again, well below the log's
    /// retention.
    duration every_ = std::chrono::minutes{30};
    /// Time between two tries; a random part of it is added for daemons that
    /// own nothing, so that one of them goes first.
    duration retry_ = std::chrono::seconds{10};
    std::size_t max_part_bytes_ = 256UL * 1024UL;
    /// Switched off only by tests.
    bool enabled_ = true;
};

/// Returns the state in parts of at most about `max_part_bytes`.
[[nodiscard]] auto make_snapshot(const state::machine& state,
                                 random_source& random,
                                 std::size_t max_part_bytes)
    -> std::vector<state::snapshot_part>;

/// Decides when to append a snapshot. The owner of the first shard writes
/// them in the normal case, at the latest when the newest one has aged through
/// half of the retained records. Any daemon writes one when it has aged through
/// three quarters, or is gone. Sans-I/O.
class snapshot_writer {
public:
    /// `random` must outlive the writer.
    snapshot_writer(snapshot_options options, random_source& random);

    /// Submits a snapshot when one is due. `in_charge`: this daemon owns the
    /// first shard.
    auto poll(const replica& reader, appender& writer, bool in_charge,
              time_point now) -> void;

    /// Returns how many snapshots were submitted.
    [[nodiscard]] auto written() const -> std::uint64_t { return written_; }

private:
    [[nodiscard]] auto is_due(const replica& reader, bool in_charge,
                              time_point now) -> bool;
    [[nodiscard]] static auto is_unrecoverable(const replica& reader) -> bool;
    [[nodiscard]] static auto is_expiring(const replica& reader, double share)
        -> bool;

    snapshot_options options_;
    random_source* random_;
    std::optional<state::log_offset> seen_;
    time_point seen_at_{};
    time_point not_before_{};
    std::uint64_t written_ = 0;
};

} // namespace basilstream::coordination
