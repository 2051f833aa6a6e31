#include "basilstream/coordination/log_client/appender.hpp"

#include <algorithm>
#include <utility>

namespace basilstream::coordination {
namespace {

constexpr auto record_overhead_bytes = std::size_t{64};
constexpr auto id_bytes = std::size_t{26};
constexpr auto resident_bytes = std::size_t{128};
constexpr auto item_bytes = std::size_t{256};
constexpr auto max_backoff_doublings = std::uint32_t{16};

auto index_of(append_purpose purpose) -> std::size_t {
    return static_cast<std::size_t>(purpose);
}

} // namespace

auto token_bucket::available(time_point now) -> double {
    if (updated_ && now > *updated_) {
        const auto elapsed =
            std::chrono::duration<double>(now - *updated_).count();
        tokens_ = std::min(burst_, tokens_ + elapsed * per_second_);
    }
    updated_ = now;
    return tokens_;
}

auto estimated_size(const state::snapshot_item& item) -> std::size_t {
    if (const auto* ids = std::get_if<state::recent_ids_item>(&item)) {
        return ids->ids_.size() * id_bytes;
    }
    if (const auto* runner = std::get_if<state::runner_item>(&item)) {
        return item_bytes + runner->residents_.size() * resident_bytes;
    }
    return item_bytes;
}

auto estimated_size(const state::record& body) -> std::size_t {
    auto size = record_overhead_bytes + item_bytes;
    if (const auto* part = std::get_if<state::snapshot_part>(&body)) {
        for (const auto& item : part->items_) {
            size += estimated_size(item);
        }
    }
    if (const auto* put = std::get_if<state::resource_put>(&body)) {
        if (const auto* organisation =
                std::get_if<state::organisation_resource>(&put->resource_)) {
            size += organisation->token_hashes_.size() * resident_bytes;
        }
    }
    return size;
}

appender::appender(appender_options options, random_source& random)
    : options_{options}, random_{&random}, calls_{options.appends_per_second_,
                                                  options.append_burst_} {
    for (const auto& budget : options_.budgets_) {
        budgets_.emplace_back(budget.records_per_second_, budget.burst_);
    }
}

auto appender::submit(append_purpose purpose, state::record body,
                      state::log_offset position) -> result<state::record_id> {
    const auto index = index_of(purpose);
    if (pending_.at(index) >= options_.max_queued_) {
        return tl::unexpected(error{
            error_code::overloaded, step::log, {}, "append queue is full"});
    }
    const auto id = state::make_record_id(*random_);
    auto added = entry{};
    added.purpose_ = purpose;
    added.bytes_ = estimated_size(body);
    added.envelope_ = {id, position, std::move(body)};
    entries_.emplace(id, std::move(added));
    queues_.at(index).push_back(id);
    by_age_.push_back(id);
    ++pending_.at(index);
    return id;
}

auto appender::poll(time_point now) -> std::optional<append_batch> {
    if (in_flight_ && now - sent_at_ >= options_.answer_timeout_) {
        on_failed(*in_flight_, std::nullopt, now);
    }
    if (in_flight_ || now < not_before_ || calls_.available(now) < 1.0) {
        return std::nullopt;
    }
    auto batch = append_batch{};
    auto bytes = std::size_t{0};
    for (auto i = std::size_t{0}; i < append_purpose_count; ++i) {
        gather(static_cast<append_purpose>(i), now, batch, bytes);
    }
    if (batch.records_.empty()) {
        return std::nullopt;
    }
    calls_.take(1.0);
    batch.ticket_ = next_ticket_++;
    in_flight_ = batch.ticket_;
    sent_at_ = now;
    return batch;
}

auto appender::gather(append_purpose purpose, time_point now,
                      append_batch& batch, std::size_t& bytes) -> void {
    auto& queue = queues_.at(index_of(purpose));
    auto& budget = budgets_.at(index_of(purpose));
    while (!queue.empty() &&
           batch.records_.size() < options_.max_batch_records_) {
        const auto found = entries_.find(queue.front());
        if (found == entries_.end()) {
            queue.pop_front();
            continue;
        }
        auto& next = found->second;
        if (budget.available(now) < 1.0 ||
            (bytes > 0 && bytes + next.bytes_ > options_.max_batch_bytes_)) {
            return;
        }
        budget.take(1.0);
        bytes += next.bytes_;
        next.queued_ = false;
        batch.records_.push_back(next.envelope_);
        in_flight_ids_.push_back(queue.front());
        queue.pop_front();
    }
}

auto appender::on_accepted(std::uint64_t ticket, state::log_offset first_offset)
    -> void {
    if (in_flight_ != ticket) {
        return;
    }
    auto offset = first_offset;
    for (const auto& id : in_flight_ids_) {
        const auto found = entries_.find(id);
        if (found != entries_.end()) {
            found->second.landed_ = offset;
        }
        ++offset;
    }
    in_flight_ids_.clear();
    in_flight_.reset();
    failures_ = 0;
}

auto appender::on_failed(std::uint64_t ticket,
                         std::optional<duration> retry_after, time_point now)
    -> void {
    if (in_flight_ != ticket) {
        return;
    }
    requeue(in_flight_ids_);
    in_flight_ids_.clear();
    in_flight_.reset();
    ++failures_;
    back_off(retry_after, now);
}

// Full jitter over an exponential delay keeps daemons apart after an outage.
auto appender::back_off(std::optional<duration> retry_after, time_point now)
    -> void {
    const auto doublings = std::min(failures_ - 1, max_backoff_doublings);
    const auto ceiling = std::min(options_.max_backoff_,
                                  options_.first_backoff_ * (1U << doublings));
    const auto wait = std::chrono::duration_cast<duration>(
        random_->fraction() *
        std::chrono::duration<double, std::nano>(ceiling));
    not_before_ = now + std::max(wait, retry_after.value_or(duration{}));
}

auto appender::requeue(const std::vector<state::record_id>& ids) -> void {
    for (auto id = ids.rbegin(); id != ids.rend(); ++id) {
        const auto found = entries_.find(*id);
        if (found != entries_.end() && !found->second.queued_) {
            found->second.queued_ = true;
            found->second.landed_.reset();
            queues_.at(index_of(found->second.purpose_)).push_front(*id);
        }
    }
}

auto appender::on_record(const state::record_id& id, state::log_offset offset,
                         state::apply_outcome outcome) -> void {
    const auto found = entries_.find(id);
    if (found == entries_.end()) {
        return;
    }
    const auto repeated = outcome.reason_ == state::rejection::duplicate_id;
    const auto expired = outcome.reason_ == state::rejection::expired;
    if (repeated || (expired && found->second.maybe_skipped_)) {
        resolve(id, append_fate::unseen, std::nullopt, outcome);
    } else {
        const auto fate = expired ? append_fate::never : append_fate::judged;
        resolve(id, fate, offset, outcome);
    }
}

auto appender::on_position(state::log_offset next) -> void {
    auto lost = std::vector<state::record_id>{};
    for (const auto& id : by_age_) {
        const auto found = entries_.find(id);
        if (found == entries_.end()) {
            continue;
        }
        const auto& waiting = found->second;
        if (next > waiting.envelope_.written_at_ + options_.window_) {
            resolve(id,
                    waiting.maybe_skipped_ ? append_fate::unseen
                                           : append_fate::never,
                    std::nullopt, {state::rejection::expired});
        } else if (waiting.landed_ && *waiting.landed_ < next) {
            lost.push_back(id);
        }
    }
    requeue(lost);
    std::erase_if(by_age_,
                  [&](const auto& id) { return !entries_.contains(id); });
}

auto appender::on_restart() -> void {
    auto landed = std::vector<state::record_id>{};
    for (const auto& id : by_age_) {
        const auto found = entries_.find(id);
        if (found == entries_.end()) {
            continue;
        }
        found->second.maybe_skipped_ = true;
        if (found->second.landed_) {
            landed.push_back(id);
        }
    }
    requeue(landed);
}

auto appender::resolve(const state::record_id& id, append_fate fate,
                       std::optional<state::log_offset> offset,
                       state::apply_outcome outcome) -> void {
    const auto found = entries_.find(id);
    const auto purpose = found->second.purpose_;
    entries_.erase(found);
    --pending_.at(index_of(purpose));
    resolutions_.push_back({id, purpose, fate, offset, outcome});
}

auto appender::take_resolutions() -> std::vector<append_resolution> {
    return std::exchange(resolutions_, {});
}

} // namespace basilstream::coordination
