/// Assigns control shards to daemons by claim records in the log. The offset of
/// the valid claim is the shard's epoch. Clocks only determine when a daemon
/// attempts a claim; the log order decides which claim is valid.
///
///     auto shards = ownership{{}, "entry-1", {"muc"}, writer, random};
///     shards.on_members({"entry-1", "entry-2"});
///     shards.poll(reader.state(), reader.current(), now);
///     shards.held(reader.state(), "muc");   // epoch, if owned
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/base/random/random.hpp"
#include "basilstream/coordination/log_client/log_client.hpp"

namespace basilstream::coordination {

/// Settings of ownership.
struct ownership_options {
    /// Lease: time without a record of the owner after which other daemons
    /// attempt to claim the shard.
    duration lease_ = std::chrono::seconds{6};
    duration renew_every_ = std::chrono::seconds{2};
    /// Extra wait before a claim for each daemon that ranks higher for the
    /// shard, so that the highest-ranked one claims first.
    duration rank_delay_ = std::chrono::milliseconds{500};
    /// Minimum time of ownership before a shard is released to a daemon that
    /// ranks higher for it.
    duration hand_over_after_ = std::chrono::minutes{1};
};

/// Decides when to claim, renew and release shards. Sans-I/O; not safe for
/// concurrent use.
class ownership {
public:
    /// `daemon` is unique for each start of a process, so that a restarted
    /// daemon does not mistake the epoch of its predecessor for its own.
    /// `writer` and `random` must outlive this object.
    ownership(ownership_options options, std::string daemon,
              std::vector<std::string> shards, appender& writer,
              random_source& random);

    /// Sets the daemons considered alive; this one is added if missing.
    auto on_members(std::vector<std::string> members) -> void;

    /// Restarts the owner's lease when a claim, renewal or release was applied.
    auto on_applied(const applied_record& read, time_point now) -> void;

    /// Submits the claims, renewals and releases that are due. `current` tells
    /// whether `state` has reached the known end of the log; if not, nothing is
    /// submitted.
    auto poll(const state::machine& state, bool current, time_point now)
        -> void;

    /// Makes poll() release all owned shards and claim none from now on.
    auto stop() -> void { stopping_ = true; }

    /// Returns the epoch of a shard if this daemon owns it according to
    /// `state`, else nothing.
    [[nodiscard]] auto held(const state::machine& state,
                            std::string_view shard) const
        -> std::optional<state::epoch>;

    /// Returns the epoch of each shard that this daemon owns, by shard.
    [[nodiscard]] auto held(const state::machine& state) const
        -> std::map<std::string, state::epoch>;

    [[nodiscard]] auto shards() const -> const std::vector<std::string>& {
        return shards_;
    }

private:
    struct shard_watch {
        // Start of the owner's lease on this daemon's clock: when its newest
        // record was applied or the log became readable again.
        time_point owner_seen_at_{};
        time_point renewed_at_{};
        time_point owned_since_{};
        std::optional<state::record_id> pending_;
        state::epoch epoch_ = 0;
        duration jitter_{};
    };

    auto poll_shard(const std::string& shard, const state::machine& state,
                    time_point now) -> void;
    auto poll_owned(const std::string& shard, shard_watch& watch,
                    state::epoch epoch, state::log_offset position,
                    time_point now) -> void;
    auto poll_not_owned(const std::string& shard, shard_watch& watch,
                        const state::shard_state& observed,
                        state::log_offset position, time_point now) -> void;
    [[nodiscard]] auto rank(std::string_view shard) const -> std::size_t;
    auto submit(shard_watch& watch, state::record body,
                state::log_offset position) -> void;

    ownership_options options_;
    std::string daemon_;
    std::vector<std::string> shards_;
    appender* writer_;
    random_source* random_;
    std::vector<std::string> members_;
    std::map<std::string, shard_watch, std::less<>> watches_;
    bool was_current_ = false;
    bool stopping_ = false;
};

} // namespace basilstream::coordination
