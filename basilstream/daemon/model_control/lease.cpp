#include <algorithm>
#include <utility>

#include "basilstream/daemon/model_control/model_control.hpp"

namespace basilstream::daemon {
namespace {

// Record key of the lease entries in the placement lease topic.
constexpr auto lease_key = "placement";
// Age at which the demand that the former owner knew is disregarded.
constexpr auto known_demand_lifetime = seconds{10};

} // namespace

auto model_control::advance_lease() -> void {
    const auto now = context_.boot_clock_.now();
    const auto owns_lease = lease_.valid_epoch(now).has_value();
    if (owns_lease && !owns_lease_) {
        on_lease_gained();
    } else if (!owns_lease && owns_lease_) {
        context_.log_.info("placement lease lost or released");
    }
    owns_lease_ = owns_lease;
    if (lease_.needs_read(now) && !lease_read_in_flight_) {
        read_lease();
    }
    if (const auto due = lease_.poll(now)) {
        append_lease(*due);
    }
}

auto model_control::on_lease_gained() -> void {
    context_.log_.info("placement lease gained",
                       {{"epoch", std::to_string(epoch().value_or(0))}});
    ledger_.reset();
    const auto now = context_.clock_.now();
    if (!owner_demand_at_ || now - *owner_demand_at_ > known_demand_lifetime) {
        // What this daemon has seen is its own requests only.
        demand_known_since_.reset();
    }
    const auto previous_owner_until = lease_.previous_owner_valid_until();
    if (!previous_owner_until || !config_) {
        store_loads_.begin_without_predecessor();
        return;
    }
    auto capacity = std::size_t{0};
    for (const auto& service : config_->services_) {
        capacity += service.engine_ ? store_load_capacity(*service.engine_) : 0;
    }
    auto runners = std::set<std::string>{};
    for (const auto& [id, entry] : servers_) {
        if (!service_of(id).empty()) {
            runners.insert(id);
        }
    }
    const auto age = context_.boot_clock_.now() - *previous_owner_until;
    store_loads_.on_takeover(capacity, now - age, std::move(runners));
}

auto model_control::lease_answer_counts(
    std::optional<std::uint64_t> era_when_sent,
    std::optional<std::uint64_t> era) -> bool {
    const auto known = lease_.era();
    const auto counts =
        lease_.on_answer(era_when_sent, era, context_.boot_clock_.now());
    if (known && lease_.era() != known) {
        context_.log_.warning("the store came back from an older copy",
                              {{"era", std::to_string(*lease_.era())},
                               {"former_era", std::to_string(*known)}});
    }
    return counts;
}

auto model_control::read_lease() -> void {
    lease_read_in_flight_ = true;
    auto done = [this, era = lease_.era()](
                    const result<coordination::record_page>& page) {
        lease_read_in_flight_ = false;
        const auto now = context_.boot_clock_.now();
        if (!page) {
            context_.log_.failure(transport::log_level::debug,
                                  "reading the placement lease failed",
                                  page.error());
            lease_.on_append_failed(now);
            return;
        }
        if (!lease_answer_counts(era, page->era_) || page->expired_) {
            next_lease_offset_.reset();
            return;
        }
        for (const auto& record : page->records_) {
            if (record.key_ != lease_key || !record.value_) {
                continue;
            }
            if (const auto entry =
                    protocol::decode_lease_entry(*record.value_)) {
                lease_.on_entry(record.offset_, *entry, now);
            } else {
                context_.log_.failure(
                    transport::log_level::warning,
                    "undecodable placement lease entry ignored", entry.error());
            }
        }
        next_lease_offset_ =
            std::max(next_lease_offset_.value_or(0), page->end_);
        lease_.on_read(*next_lease_offset_, now);
    };
    if (next_lease_offset_) {
        store_.read_from(coordination::shared_topic::placement_lease,
                         *next_lease_offset_, milliseconds{0}, std::move(done));
    } else {
        store_.read_newest(coordination::shared_topic::placement_lease,
                           std::move(done));
    }
}

auto model_control::append_lease(const coordination::lease_append& due)
    -> void {
    const auto sent_at = context_.boot_clock_.now();
    store_.append(coordination::shared_topic::placement_lease, due.offset_,
                  {lease_key, protocol::encode(due.entry_)},
                  [this, sent_at, era = lease_.era()](
                      const result<coordination::append_outcome>& outcome) {
                      if (outcome && !lease_answer_counts(era, outcome->era_)) {
                          next_lease_offset_.reset();
                          return;
                      }
                      if (outcome && outcome->appended_) {
                          lease_.on_appended(outcome->offset_, sent_at);
                          next_lease_offset_ = outcome->offset_ + 1;
                          return;
                      }
                      if (!outcome) {
                          context_.log_.failure(
                              transport::log_level::warning,
                              "writing the placement lease failed",
                              outcome.error());
                      }
                      lease_.on_append_failed(context_.boot_clock_.now());
                  });
}

auto model_control::set_lease_fields(protocol::relay_update& update) const
    -> void {
    const auto now = context_.boot_clock_.now();
    update.lease_epoch_ = lease_.valid_epoch(now);
    update.lease_end_ = lease_.log_end();
    update.lease_left_ = std::chrono::ceil<milliseconds>(lease_.remaining(now));
}

} // namespace basilstream::daemon
