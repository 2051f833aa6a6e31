#include "basilstream/coordination/log_client/replica.hpp"

#include <algorithm>

#include "basilstream/base/invariant/invariant.hpp"

namespace basilstream::coordination {
namespace {

constexpr auto max_backoff_doublings = std::uint32_t{16};
constexpr auto scan_growth = state::log_offset{8};
constexpr auto max_open_snapshots = std::size_t{16};

} // namespace

auto snapshot_collector::add(const state::snapshot_part& part) -> void {
    if (whole_ && part.at_offset_ <= whole_->at_offset_) {
        return;
    }
    auto& gathered = open_[part.snapshot_];
    gathered.at_offset_ = part.at_offset_;
    gathered.digest_ = part.digest_;
    gathered.parts_[part.part_] = part.items_;
    if (gathered.parts_.size() < part.parts_) {
        drop_oldest();
        return;
    }
    whole_ = std::move(gathered);
    std::erase_if(open_, [&](const auto& other) {
        return other.second.at_offset_ <= whole_->at_offset_;
    });
}

// Parts of daemons that died while writing would stay forever.
auto snapshot_collector::drop_oldest() -> void {
    if (open_.size() <= max_open_snapshots) {
        return;
    }
    open_.erase(std::min_element(
        open_.begin(), open_.end(), [](const auto& a, const auto& b) {
            return a.second.at_offset_ < b.second.at_offset_;
        }));
}

auto snapshot_collector::clear() -> void {
    open_.clear();
    whole_.reset();
}

auto snapshot_collector::newest() const -> std::optional<state::log_offset> {
    return whole_ ? std::optional{whole_->at_offset_} : std::nullopt;
}

auto snapshot_collector::restore(state::machine_guards guards,
                                 state::log_offset window) const
    -> std::optional<state::machine> {
    if (!whole_) {
        return std::nullopt;
    }
    auto items = std::vector<state::snapshot_item>{};
    for (const auto& [number, part] : whole_->parts_) {
        items.insert(items.end(), part.begin(), part.end());
    }
    auto restored = state::machine::restore(whole_->at_offset_, items,
                                            whole_->digest_, guards, window);
    if (!holds(restored.has_value(), "snapshot_matches_digest")) {
        return std::nullopt;
    }
    return std::move(*restored);
}

auto snapshot_collector::drop_items() -> void {
    if (whole_) {
        whole_->parts_.clear();
    }
}

replica::replica(replica_options options, random_source& random)
    : options_{options}, random_{&random}, machine_{options.guards_,
                                                    options.window_} {}

auto replica::current() const -> bool {
    return phase_ == replica_phase::following && failures_ == 0 &&
           machine_.next_offset() >= bounds_.next_;
}

auto replica::poll(time_point now) -> std::optional<read_request> {
    if (in_flight_ &&
        now - sent_at_ >= options_.answer_timeout_ + options_.long_poll_) {
        on_failed(*in_flight_, now);
    }
    if (in_flight_ || now < not_before_ ||
        phase_ == replica_phase::unsupported) {
        return std::nullopt;
    }
    if (phase_ == replica_phase::stranded) {
        start_over();
    }
    auto request = read_request{};
    request.ticket_ = next_ticket_++;
    if (phase_ != replica_phase::probing) {
        request.kind_ = read_request::kind::records;
        request.from_ = phase_ == replica_phase::scanning
                            ? scan_position_
                            : machine_.next_offset();
        request.max_records_ = options_.max_records_;
        request.wait_ = phase_ == replica_phase::following
                            ? options_.long_poll_
                            : std::chrono::milliseconds{0};
    }
    in_flight_ = request.ticket_;
    sent_at_ = now;
    return request;
}

auto replica::take_ticket(std::uint64_t ticket) -> bool {
    if (in_flight_ != ticket) {
        return false;
    }
    in_flight_.reset();
    return true;
}

auto replica::note_success(log_bounds bounds, time_point now) -> void {
    failures_ = 0;
    contact_ = now;
    bounds_ = bounds;
}

auto replica::on_bounds(std::uint64_t ticket, log_bounds bounds, time_point now)
    -> void {
    if (!take_ticket(ticket)) {
        return;
    }
    note_success(bounds, now);
    start_end_ = bounds.next_;
    if (machine_.next_offset() >= bounds.first_) {
        phase_ = replica_phase::catching_up;
        settle_phase();
        return;
    }
    phase_ = replica_phase::scanning;
    scan_width_ = options_.scan_records_;
    begin_scan(now);
}

auto replica::begin_scan(time_point now) -> void {
    const auto retained = start_end_ - bounds_.first_;
    scan_from_ = start_end_ - std::min(retained, scan_width_);
    scan_position_ = scan_from_;
    if (scan_position_ >= start_end_) {
        finish_scan(now);
    }
}

auto replica::on_records(std::uint64_t ticket, std::vector<log_entry> entries,
                         log_bounds bounds, time_point now)
    -> std::vector<applied_record> {
    if (!take_ticket(ticket)) {
        return {};
    }
    note_success(bounds, now);
    if (phase_ == replica_phase::scanning) {
        scan(entries, now);
        return {};
    }
    auto applied = apply(entries);
    settle_phase();
    if (phase_ == replica_phase::following && !applied.empty()) {
        not_before_ = now + options_.read_interval_;
    }
    return applied;
}

auto replica::scan(const std::vector<log_entry>& entries, time_point now)
    -> void {
    for (const auto& entry : entries) {
        if (entry.offset_ < scan_position_) {
            continue;
        }
        scan_position_ = entry.offset_ + 1;
        if (entry.envelope_) {
            collect(*entry.envelope_);
        }
    }
    if (scan_position_ >= start_end_) {
        finish_scan(now);
    }
}

auto replica::collect(const state::envelope& envelope) -> void {
    if (const auto* part = std::get_if<state::snapshot_part>(&envelope.body_)) {
        snapshots_.add(*part);
    }
}

auto replica::finish_scan(time_point now) -> void {
    const auto newest = snapshots_.newest();
    // A snapshot that was appended late may be older than the head.
    const auto usable = newest && *newest >= bounds_.first_;
    if (!usable && scan_from_ > bounds_.first_) {
        scan_width_ *= scan_growth;
        snapshots_.clear();
        begin_scan(now);
        return;
    }
    if (!usable) {
        phase_ = replica_phase::stranded;
        not_before_ = now + options_.stranded_retry_;
        return;
    }
    auto restored = snapshots_.restore(options_.guards_, options_.window_);
    snapshots_.drop_items();
    if (!restored || !holds(restored->next_offset() >= machine_.next_offset(),
                            "state_never_goes_back")) {
        phase_ = replica_phase::stranded;
        not_before_ = now + options_.stranded_retry_;
        return;
    }
    machine_ = std::move(*restored);
    ++restarts_;
    phase_ = replica_phase::catching_up;
    settle_phase();
}

auto replica::apply(std::vector<log_entry>& entries)
    -> std::vector<applied_record> {
    auto applied = std::vector<applied_record>{};
    for (auto& entry : entries) {
        if (entry.offset_ < machine_.next_offset()) {
            continue;
        }
        if (!holds(entry.offset_ == machine_.next_offset(), "log_has_no_gap")) {
            break;
        }
        if (!entry.envelope_) {
            machine_.skip(entry.offset_);
            continue;
        }
        const auto outcome = machine_.apply(entry.offset_, *entry.envelope_);
        if (machine_.next_offset() <= entry.offset_) {
            break;
        }
        collect(*entry.envelope_);
        applied.push_back(
            {entry.offset_, std::move(*entry.envelope_), outcome});
    }
    snapshots_.drop_items();
    return applied;
}

auto replica::settle_phase() -> void {
    if (machine_.unsupported()) {
        phase_ = replica_phase::unsupported;
        ready_ = false;
    } else if (phase_ == replica_phase::catching_up &&
               machine_.next_offset() >= start_end_) {
        phase_ = replica_phase::following;
        ready_ = true;
    }
}

auto replica::on_truncated(std::uint64_t ticket, log_bounds bounds,
                           time_point now) -> void {
    if (!take_ticket(ticket)) {
        return;
    }
    note_success(bounds, now);
    start_over();
}

auto replica::rebase() -> bool {
    if (phase_ != replica_phase::stranded || !ready_) {
        return false;
    }
    machine_.rebase(bounds_.first_);
    phase_ = replica_phase::catching_up;
    settle_phase();
    return true;
}

auto replica::start_over() -> void {
    snapshots_.clear();
    phase_ = replica_phase::probing;
}

auto replica::on_failed(std::uint64_t ticket, time_point now) -> void {
    if (take_ticket(ticket)) {
        ++failures_;
        back_off(now);
    }
}

auto replica::back_off(time_point now) -> void {
    const auto doublings = std::min(failures_ - 1, max_backoff_doublings);
    const auto ceiling = std::min(options_.max_backoff_,
                                  options_.first_backoff_ * (1U << doublings));
    not_before_ = now + std::chrono::duration_cast<duration>(
                            random_->fraction() *
                            std::chrono::duration<double, std::nano>(ceiling));
}

} // namespace basilstream::coordination
