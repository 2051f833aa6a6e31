#include "basilstream/coordination/log_client/snapshot_writer.hpp"

namespace basilstream::coordination {
namespace {

// Ages of the newest snapshot as shares of the retained records: from the
// first on the daemon in charge writes one, from the second on any daemon.
constexpr auto owner_share = 0.5;
constexpr auto deputy_share = 0.75;

// Keeps an almost empty log from being filled by snapshots alone.
constexpr auto min_records_between = 32.0;

} // namespace

auto make_snapshot(const state::machine& state, random_source& random,
                   std::size_t max_part_bytes)
    -> std::vector<state::snapshot_part> {
    auto parts = std::vector<state::snapshot_part>{};
    auto first = state::snapshot_part{};
    first.snapshot_ = state::make_record_id(random);
    first.at_offset_ = state.next_offset();
    first.digest_ = state.digest();
    parts.push_back(first);
    auto bytes = std::size_t{0};
    for (auto& item : state.items()) {
        const auto size = estimated_size(item);
        if (bytes > 0 && bytes + size > max_part_bytes) {
            auto next = first;
            next.part_ = static_cast<std::uint32_t>(parts.size());
            parts.push_back(std::move(next));
            bytes = 0;
        }
        bytes += size;
        parts.back().items_.push_back(std::move(item));
    }
    for (auto& part : parts) {
        part.parts_ = static_cast<std::uint32_t>(parts.size());
    }
    return parts;
}

snapshot_writer::snapshot_writer(snapshot_options options,
                                 random_source& random)
    : options_{options}, random_{&random} {}

auto snapshot_writer::poll(const replica& reader, appender& writer,
                           bool in_charge, time_point now) -> void {
    if (!options_.enabled_ || reader.phase() != replica_phase::following ||
        !is_due(reader, in_charge, now)) {
        return;
    }
    const auto random_part =
        in_charge ? 0.0
                  : random_->fraction() *
                        static_cast<double>(options_.retry_.count());
    not_before_ = now + options_.retry_ +
                  duration{static_cast<duration::rep>(random_part)};
    const auto& state = reader.state();
    for (auto& part :
         make_snapshot(state, *random_, options_.max_part_bytes_)) {
        // A queue that is full leaves the snapshot incomplete; the next try
        // writes it anew.
        std::ignore = writer.submit(append_purpose::snapshots, std::move(part),
                                    state.next_offset());
    }
    ++written_;
}

auto snapshot_writer::is_unrecoverable(const replica& reader) -> bool {
    const auto newest = reader.newest_snapshot();
    return reader.bounds().first_ > newest.value_or(0);
}

// The retention is the platform's; what it keeps shows how near the newest
// snapshot is to the head.
auto snapshot_writer::is_expiring(const replica& reader, double share) -> bool {
    const auto bounds = reader.bounds();
    const auto since = static_cast<double>(
        bounds.next_ - reader.newest_snapshot().value_or(0));
    const auto retained = static_cast<double>(bounds.next_ - bounds.first_);
    return bounds.first_ > 0 && since >= min_records_between &&
           since > retained * share;
}

auto snapshot_writer::is_due(const replica& reader, bool in_charge,
                             time_point now) -> bool {
    const auto newest = reader.newest_snapshot();
    if (newest != seen_) {
        seen_ = newest;
        seen_at_ = now;
    }
    if (now < not_before_) {
        return false;
    }
    if (is_unrecoverable(reader) || is_expiring(reader, deputy_share)) {
        return true;
    }
    const auto next = reader.state().next_offset();
    const auto since = next - newest.value_or(0);
    const auto old = since > 0 && now - seen_at_ >= options_.every_;
    return in_charge && (since >= options_.every_records_ || old ||
                         is_expiring(reader, owner_share));
}

} // namespace basilstream::coordination
