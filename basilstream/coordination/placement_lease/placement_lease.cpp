#include "basilstream/coordination/placement_lease/placement_lease.hpp"

#include <algorithm>
#include <utility>

namespace basilstream::coordination {

placement_lease::placement_lease(placement_lease_settings settings,
                                 std::string holder, random_source& random)
    : settings_{settings}, holder_{std::move(holder)}, random_{random},
      jitter_{static_cast<duration::rep>(
          random.fraction() *
          static_cast<double>(settings.claim_jitter_.count()))} {}

auto placement_lease::on_answer(std::optional<std::uint64_t> era_when_sent,
                                std::optional<std::uint64_t> era,
                                time_point now) -> bool {
    if (era && !era_) {
        era_ = era;
        epoch_era_ = epoch_era_ ? epoch_era_ : era;
        return true;
    }
    const auto sent_in_this_era = era_when_sent == era_;
    const auto same_era = !era || era == era_;
    if (same_era && sent_in_this_era) {
        return true;
    }
    // A lower era in the answer to an earlier call is that of a late answer.
    if (!same_era && (sent_in_this_era || *era > *era_)) {
        begin_era(*era, now);
    }
    require_newest_entry();
    return false;
}

auto placement_lease::begin_era(std::uint64_t era, time_point now) -> void {
    may_reclaim_ = valid_epoch(now).has_value();
    claimed_by_this_process_ = false;
    owner_released_ = false;
    owner_valid_until_ = std::max(owner_valid_until_, now + settings_.term_);
    stale_before_ = 0;
    era_ = era;
}

auto placement_lease::require_newest_entry() -> void {
    pending_.reset();
    log_end_.reset();
    read_needed_ = true;
}

auto placement_lease::next_epoch(std::uint64_t offset) const -> std::uint64_t {
    constexpr auto max_eras = std::uint64_t{1} << 32U;
    const auto current = era_.value_or(0);
    // Without a known claim all eras before may have had some.
    const auto claimed = owner_ ? epoch_era_.value_or(current) : 0;
    const auto eras = std::max(current, claimed) - std::min(current, claimed);
    const auto skipped = std::min(eras, max_eras) * epochs_per_era;
    const auto unread = unread_epoch_ > epoch_ ? unread_epoch_ + 1 : 0;
    const auto after_claim = owner_ ? epoch_ + 1 : offset;
    return std::max({offset, after_claim + skipped, unread});
}

auto placement_lease::on_entry(std::uint64_t offset, const lease_entry& entry,
                               time_point now) -> void {
    log_end_ = std::max(log_end_.value_or(0), offset + 1);
    const auto is_claim = entry.kind_ == lease_entry_kind::claim;
    const auto epoch = is_claim ? std::max(entry.epoch_, offset) : entry.epoch_;
    if (!owner_ || epoch > epoch_) {
        adopt_claim(entry, epoch, now);
    }
    // Entries of a former era do not tell what their owner did afterwards.
    if (!is_claim && entry.epoch_ == epoch_ && entry.holder_ == *owner_ &&
        !claim_is_of_former_era() && offset >= stale_before_) {
        apply_to_owner(entry, now);
    }
}

auto placement_lease::adopt_claim(const lease_entry& entry, std::uint64_t epoch,
                                  time_point now) -> void {
    owner_ = entry.holder_;
    epoch_ = epoch;
    epoch_era_ = entry.era_ ? entry.era_ : era_;
    claimed_by_this_process_ = false;
    may_reclaim_ = false;
    owner_released_ = false;
    stale_before_ = 0;
    if (entry.kind_ == lease_entry_kind::claim || claim_is_of_former_era()) {
        owner_valid_until_ = now + settings_.term_;
    }
}

auto placement_lease::apply_to_owner(const lease_entry& entry, time_point now)
    -> void {
    const auto released = entry.kind_ == lease_entry_kind::release;
    if (!released) {
        owner_valid_until_ =
            std::max(owner_valid_until_, now + settings_.term_);
    } else if (!owner_released_) {
        // The owner may have sent orders until it wrote the release. When it
        // did so is unknown; the present time is the upper bound.
        owner_valid_until_ = now;
    }
    owner_released_ = released;
}

auto placement_lease::on_read(std::uint64_t end, time_point now) -> void {
    log_end_ = std::max(log_end_.value_or(0), end);
    if (may_have_lost_all_claims() && owner_valid_until_ == time_point{}) {
        owner_valid_until_ = now + settings_.term_;
    }
    read_at_ = now;
    read_needed_ = false;
}

auto placement_lease::on_owner_heartbeat(std::uint64_t epoch,
                                         duration remaining, std::uint64_t end,
                                         time_point now) -> void {
    if (owner_ && epoch == epoch_ && !owner_released_) {
        owner_valid_until_ = std::max(
            owner_valid_until_, now + std::min(remaining, settings_.term_));
        stale_before_ = std::max(stale_before_, end);
    } else if (!owner_ || epoch > epoch_) {
        read_needed_ = true;
        unread_epoch_ = std::max(unread_epoch_, epoch);
        unread_owner_valid_until_ =
            std::max(unread_owner_valid_until_,
                     now + std::min(remaining, settings_.term_));
    }
}

auto placement_lease::on_owner_released(std::uint64_t epoch, std::uint64_t end,
                                        time_point now) -> void {
    if (owner_ && epoch == epoch_ && !claimed_by_this_process_) {
        owner_released_ = true;
        owner_valid_until_ = now;
        stale_before_ = std::max(stale_before_, end);
    }
}

auto placement_lease::claimable_at() const -> time_point {
    const auto handover_delay =
        settings_.pause_between_owners_ + settings_.clock_margin_ + jitter_;
    auto claimable = time_point::min();
    if (unread_epoch_ > epoch_) {
        claimable = unread_owner_valid_until_ + handover_delay;
    }
    // If the owner is an earlier process on this VM, with the same holder name,
    // this process may claim at once.
    const auto was_owner =
        may_reclaim_ || (owner_is_this_vm() && !claim_is_of_former_era());
    if (was_owner || (!owner_ && !may_have_lost_all_claims())) {
        return claimable;
    }
    return std::max(claimable, owner_valid_until_ + handover_delay);
}

auto placement_lease::needs_read(time_point now) const -> bool {
    if (stopping_ || pending_ || now < retry_at_) {
        return false;
    }
    if (read_needed_ || !log_end_) {
        return true;
    }
    // A claim must be based on a recent read of the log.
    const auto claim_due = !claimed_by_this_process_ && now >= claimable_at();
    return claim_due && now - read_at_ > settings_.renewal_interval_;
}

auto placement_lease::poll(time_point now) -> std::optional<lease_append> {
    if (pending_ || now < retry_at_ || !log_end_ || read_needed_) {
        return std::nullopt;
    }
    auto entry = lease_entry{lease_entry_kind::claim, holder_,
                             next_epoch(*log_end_), era_};
    if (claimed_by_this_process_ && owner_is_this_vm()) {
        if (owner_released_) {
            return std::nullopt;
        }
        if (!stopping_ && now - renewed_at_ < settings_.renewal_interval_) {
            return std::nullopt;
        }
        entry.kind_ =
            stopping_ ? lease_entry_kind::release : lease_entry_kind::renewal;
        entry.epoch_ = epoch_;
    } else if (stopping_ || now < claimable_at() ||
               now - read_at_ > settings_.renewal_interval_) {
        return std::nullopt;
    }
    if (stopping_) {
        // No order may be sent after the release.
        valid_until_ = time_point{};
    }
    pending_ = lease_append{*log_end_, std::move(entry)};
    return pending_;
}

auto placement_lease::on_appended(std::uint64_t offset, time_point sent_at)
    -> void {
    if (!pending_) {
        return;
    }
    const auto kind = pending_->entry_.kind_;
    const auto epoch = pending_->entry_.epoch_;
    pending_.reset();
    log_end_ = offset + 1;
    if (kind == lease_entry_kind::claim) {
        if (owner_) {
            // An earlier process on this VM may have sent orders up to now.
            previous_owner_valid_until_ =
                *owner_ == holder_ ? sent_at
                                   : std::min(owner_valid_until_, sent_at);
        } else if (may_have_lost_all_claims()) {
            previous_owner_valid_until_ = std::min(owner_valid_until_, sent_at);
        }
        owner_ = holder_;
        epoch_ = epoch;
        epoch_era_ = era_;
        stale_before_ = 0;
        may_reclaim_ = false;
        claimed_by_this_process_ = true;
    }
    owner_released_ = kind == lease_entry_kind::release;
    renewed_at_ = sent_at;
    if (!owner_released_) {
        valid_until_ = sent_at + settings_.term_;
        owner_valid_until_ = valid_until_;
    }
}

auto placement_lease::on_append_failed(time_point now) -> void {
    pending_.reset();
    read_needed_ = true;
    const auto jitter = 0.5 + random_.fraction();
    retry_at_ =
        now +
        duration{static_cast<duration::rep>(
            jitter * static_cast<double>(settings_.retry_delay_.count()))};
}

auto placement_lease::valid_epoch(time_point now) const
    -> std::optional<std::uint64_t> {
    const auto valid = claimed_by_this_process_ && owner_is_this_vm() &&
                       !owner_released_ && !stopping_ && now < valid_until_;
    return valid ? std::optional{epoch_} : std::nullopt;
}

auto placement_lease::remaining(time_point now) const -> duration {
    return valid_epoch(now) ? valid_until_ - now : duration{0};
}

auto placement_lease::has_owner(time_point now) const -> bool {
    return owner_ && !owner_released_ && now < owner_valid_until_;
}

auto placement_lease::released() const -> bool {
    return !claimed_by_this_process_ || !owner_is_this_vm() || owner_released_;
}

} // namespace basilstream::coordination
