/// Ownership of control shards by claim records in the log. The claim's offset
/// is the epoch; clocks only decide when a daemon tries.
///
///     auto shards = ownership{{}, "entry-1", {"muc"}, writer, random};
///     shards.on_members({"entry-1", "entry-2"});
///     shards.poll(reader.state(), reader.current(), now);
///     shards.held(reader.state(), "muc");   // epoch, once the claim is read
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
    /// Silence of an owner after which others try to take over.
    duration lease_ = std::chrono::seconds{6};
    duration renew_every_ = std::chrono::seconds{2};
    /// Added for each daemon that ranks before this one for the shard, so
    /// that the best one claims first.
    duration rank_delay_ = std::chrono::milliseconds{500};
    /// How long a daemon keeps a shard for which another one ranks first.
    duration hand_over_after_ = std::chrono::minutes{1};
};

/// Decides when to claim, renew and release shards. Sans-I/O; not safe for
/// concurrent use.
class ownership {
public:
    /// `daemon` names one start of a process and is never used again, so that
    /// a restarted daemon doesn't take a former one's epoch for its own.
    /// `writer` and `random` must outlive this object.
    ownership(ownership_options options, std::string daemon,
              std::vector<std::string> shards, appender& writer,
              random_source& random);

    /// Sets the daemons that are thought to live, this one included.
    auto on_members(std::vector<std::string> members) -> void;

    /// Learns from an applied record that an owner lives.
    auto on_applied(const applied_record& read, time_point now) -> void;

    /// Submits the claims, renewals and releases that are due. `current`:
    /// the state is at the log's end as far as known.
    auto poll(const state::machine& state, bool current, time_point now)
        -> void;

    /// Releases everything and claims nothing from now on.
    auto stop() -> void { stopping_ = true; }

    /// Returns this daemon's epoch of a shard, or nothing when it is not the
    /// owner as far as the state goes.
    [[nodiscard]] auto held(const state::machine& state,
                            std::string_view shard) const
        -> std::optional<state::epoch>;

    /// Returns every shard that this daemon owns with its epoch.
    [[nodiscard]] auto held(const state::machine& state) const
        -> std::map<std::string, state::epoch>;

    [[nodiscard]] auto shards() const -> const std::vector<std::string>& {
        return shards_;
    }

private:
    struct shard_watch {
        // When the owner last showed itself, on this daemon's clock.
        time_point seen_at_{};
        time_point renewed_at_{};
        time_point held_since_{};
        std::optional<state::record_id> pending_;
        state::epoch epoch_ = 0;
        duration jitter_{};
    };

    auto poll_shard(const std::string& shard, const state::machine& state,
                    time_point now) -> void;
    auto poll_owned(const std::string& shard, shard_watch& watch,
                    state::epoch epoch, state::log_offset position,
                    time_point now) -> void;
    auto poll_foreign(const std::string& shard, shard_watch& watch,
                      const state::shard_state& seen,
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
