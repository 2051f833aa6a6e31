#include "basilstream/coordination/ownership/ownership.hpp"

#include <algorithm>
#include <functional>

namespace basilstream::coordination {
namespace {

// Daemons beyond this rank wait equally long; jitter separates their claims.
constexpr auto max_rank = std::size_t{8};

// Weight of a daemon for a shard in rendezvous hashing (Thaler and
// Ravishankar, 1998). FNV-1a with a final mix: the same on every machine.
auto rendezvous_weight(std::string_view shard, std::string_view daemon)
    -> std::uint64_t {
    constexpr auto offset_basis = std::uint64_t{0xcbf29ce484222325};
    constexpr auto prime = std::uint64_t{0x100000001b3};
    auto hash = offset_basis;
    const auto mix = [&](std::string_view text) {
        for (const auto letter : text) {
            hash = (hash ^ static_cast<unsigned char>(letter)) * prime;
        }
        hash = (hash ^ text.size()) * prime;
    };
    mix(shard);
    mix(daemon);
    hash ^= hash >> 33U;
    hash *= 0xff51afd7ed558ccd;
    return hash ^ (hash >> 33U);
}

} // namespace

ownership::ownership(ownership_options options, std::string daemon,
                     std::vector<std::string> shards, appender& writer,
                     random_source& random)
    : options_{options}, daemon_{std::move(daemon)}, shards_{std::move(shards)},
      writer_{&writer}, random_{&random}, members_{daemon_} {}

auto ownership::on_members(std::vector<std::string> members) -> void {
    members_ = std::move(members);
    if (std::find(members_.begin(), members_.end(), daemon_) ==
        members_.end()) {
        members_.push_back(daemon_);
    }
}

auto ownership::on_applied(const applied_record& read, time_point now) -> void {
    if (!read.outcome_.valid()) {
        return;
    }
    const auto& body = read.envelope_.body_;
    if (const auto* claim = std::get_if<state::shard_claim>(&body)) {
        watches_[claim->shard_].owner_seen_at_ = now;
    } else if (const auto* renewal = std::get_if<state::shard_renewal>(&body)) {
        watches_[renewal->shard_].owner_seen_at_ = now;
    } else if (const auto* release = std::get_if<state::shard_release>(&body)) {
        watches_[release->shard_].owner_seen_at_ = now;
    }
}

auto ownership::poll(const state::machine& state, bool current, time_point now)
    -> void {
    if (current && !was_current_) {
        // While the log was unreachable no renewals could be read, so the
        // leases of all owners start again.
        for (auto& [shard, watch] : watches_) {
            watch.owner_seen_at_ = now;
        }
    }
    was_current_ = current;
    if (!current) {
        return;
    }
    for (const auto& shard : shards_) {
        poll_shard(shard, state, now);
    }
}

auto ownership::poll_shard(const std::string& shard,
                           const state::machine& state, time_point now)
    -> void {
    auto& watch = watches_[shard];
    if (watch.pending_ && writer_->pending(*watch.pending_)) {
        return;
    }
    watch.pending_.reset();
    const auto observed = state.find_shard(shard);
    if (observed.epoch_ != watch.epoch_) {
        watch.epoch_ = observed.epoch_;
        watch.owner_seen_at_ = now;
        watch.renewed_at_ = now;
        watch.owned_since_ = now;
        watch.jitter_ = duration{static_cast<duration::rep>(
            random_->fraction() *
            static_cast<double>(options_.rank_delay_.count()))};
    }
    if (observed.owner_ == daemon_) {
        poll_owned(shard, watch, observed.epoch_, state.next_offset(), now);
    } else if (!stopping_) {
        poll_not_owned(shard, watch, observed, state.next_offset(), now);
    }
}

auto ownership::poll_owned(const std::string& shard, shard_watch& watch,
                           state::epoch epoch, state::log_offset position,
                           time_point now) -> void {
    const auto outranked = rank(shard) > 0 && now - watch.owned_since_ >=
                                                  options_.hand_over_after_;
    if (stopping_ || outranked) {
        submit(watch, state::shard_release{shard, epoch}, position);
    } else if (now - watch.renewed_at_ >= options_.renew_every_) {
        watch.renewed_at_ = now;
        submit(watch, state::shard_renewal{shard, epoch}, position);
    }
}

auto ownership::poll_not_owned(const std::string& shard, shard_watch& watch,
                               const state::shard_state& observed,
                               state::log_offset position, time_point now)
    -> void {
    const auto lease =
        observed.owner_.empty() ? duration{0} : duration{options_.lease_};
    const auto wait =
        lease + options_.rank_delay_ * static_cast<duration::rep>(rank(shard)) +
        watch.jitter_;
    if (now - watch.owner_seen_at_ >= wait) {
        submit(watch, state::shard_claim{shard, daemon_, observed.epoch_},
               position);
    }
}

// Returns the number of members with a higher weight for the shard than this
// daemon, at most max_rank. 0 is the preferred owner.
auto ownership::rank(std::string_view shard) const -> std::size_t {
    const auto own = rendezvous_weight(shard, daemon_);
    const auto heavier = std::count_if(
        members_.begin(), members_.end(), [&](const auto& member) {
            return member != daemon_ && rendezvous_weight(shard, member) > own;
        });
    return std::min(static_cast<std::size_t>(heavier), max_rank);
}

auto ownership::submit(shard_watch& watch, state::record body,
                       state::log_offset position) -> void {
    const auto id =
        writer_->submit(append_purpose::claims, std::move(body), position);
    if (id) {
        watch.pending_ = *id;
    }
}

auto ownership::held(const state::machine& state, std::string_view shard) const
    -> std::optional<state::epoch> {
    const auto observed = state.find_shard(shard);
    return observed.owner_ == daemon_ ? std::optional{observed.epoch_}
                                      : std::nullopt;
}

auto ownership::held(const state::machine& state) const
    -> std::map<std::string, state::epoch> {
    auto all = std::map<std::string, state::epoch>{};
    for (const auto& shard : shards_) {
        if (const auto epoch = held(state, shard)) {
            all.emplace(shard, *epoch);
        }
    }
    return all;
}

} // namespace basilstream::coordination
