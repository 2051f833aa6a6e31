#include "basilstream/daemon/limit_log/limit_log.hpp"

namespace basilstream::daemon {
namespace {

constexpr auto limit_stream = "limits";
// A checkpoint is written after this many changes or this much time, which is
// far below any retention; a random part spreads the daemons.
constexpr auto changes_per_checkpoint = std::uint64_t{512};
constexpr auto checkpoint_interval = std::chrono::minutes{10};
constexpr auto checkpoint_spread_s = std::uint64_t{120};

} // namespace

limit_log::limit_log(const context& base, const daemon_settings& settings,
                     transport::log_connection& connection,
                     std::string incarnation)
    : base_{base}, connection_{connection}, deployment_{settings.deployment_},
      holder_{std::move(incarnation), settings_}, permits_{holder_},
      reader_{base, connection, limit_stream, 0,
              [this](const result<transport::log_read>& read) {
                  take(read);
              }},
      last_record_{base.clock_.now()} {
    define_limits();
}

auto limit_log::define_limits() -> void {
    const auto names = coordination::weight_store_limits{};
    holder_.define(names.models_at_once_,
                   {.units_ = static_cast<int>(deployment_.loads_at_once_)});
    holder_.define(names.models_per_second_,
                   {.units_ = static_cast<int>(deployment_.loads_per_second_),
                    .hold_ = seconds{1}});
    holder_.define(
        names.adapters_at_once_,
        {.units_ = static_cast<int>(deployment_.adapters_in_flight_)});
}

auto limit_log::tick() -> void {
    reader_.tick();
    begin_empty_when_safe();
    if (!known_ || append_in_flight_) {
        return;
    }
    auto payloads = std::vector<std::string>{};
    for (const auto& record : holder_.poll(base_.clock_.now())) {
        payloads.push_back(protocol::encode_limit(record));
    }
    if (!payloads.empty()) {
        append(std::move(payloads));
        return;
    }
    write_checkpoint_when_due();
}

auto limit_log::take(const result<transport::log_read>& read) -> void {
    if (!read) {
        return;
    }
    if (read->truncated_) {
        // Records were missed: nothing counts until the next checkpoint.
        truncated_ = true;
        known_ = false;
        early_.clear();
        next_offset_ = read->first_offset_;
        return;
    }
    if (!truncated_) {
        known_ = true;
    }
    for (const auto& record : read->records_) {
        last_record_ = base_.clock_.now();
        take_entry(record.offset_, protocol::decode_limit(record.bytes_));
        next_offset_ = record.offset_ + 1;
    }
    reader_.tick();
}

auto limit_log::take_entry(std::uint64_t offset,
                           const protocol::limit_entry& entry) -> void {
    if (const auto* change = std::get_if<coordination::limit_record>(&entry)) {
        ++changes_since_checkpoint_;
        if (known_) {
            holder_.on_record(*change, base_.clock_.now());
        } else {
            early_.emplace_back(offset, *change);
        }
        return;
    }
    if (const auto* checkpoint =
            std::get_if<protocol::limit_checkpoint>(&entry)) {
        changes_since_checkpoint_ = 0;
        checkpoint_due_ = {};
        if (!known_) {
            begin(*checkpoint);
        }
    }
}

// A checkpoint lands later than it was taken: what was read since then is
// replayed on top of it, if all of that was read.
auto limit_log::begin(const protocol::limit_checkpoint& checkpoint) -> void {
    const auto now = base_.clock_.now();
    const auto first_read =
        early_.empty() ? next_offset_ : early_.front().first;
    if (checkpoint.at_offset_ < first_read && !early_.empty()) {
        return;
    }
    holder_.restore(checkpoint.ledger_, now);
    define_limits();
    known_ = true;
    for (const auto& [offset, change] : early_) {
        if (offset >= checkpoint.at_offset_) {
            holder_.on_record(change, now);
        }
    }
    early_.clear();
}

// When the whole stream has expired, every holder of it has been silent for
// longer than its lease and its work could last: nothing is held any more.
auto limit_log::begin_empty_when_safe() -> void {
    const auto silence = settings_.lease_ + settings_.max_work_duration_ +
                         settings_.drift_margin_;
    if (known_ || !truncated_ || !early_.empty() ||
        base_.clock_.now() - last_record_ < silence) {
        return;
    }
    holder_.restore(coordination::limit_ledger{}, base_.clock_.now());
    define_limits();
    known_ = true;
    changes_since_checkpoint_ = changes_per_checkpoint;
}

auto limit_log::write_checkpoint_when_due() -> void {
    const auto now = base_.clock_.now();
    if (checkpoint_due_ == time_point{}) {
        const auto spread = seconds{base_.random_.below(checkpoint_spread_s)};
        checkpoint_due_ = now + checkpoint_interval + spread;
    }
    const auto due = now >= checkpoint_due_ ||
                     changes_since_checkpoint_ >= changes_per_checkpoint;
    if (!due || next_offset_ == 0) {
        return;
    }
    checkpoint_due_ = {};
    changes_since_checkpoint_ = 0;
    append({protocol::encode_limit(
        protocol::limit_checkpoint{next_offset_, holder_.ledger()})});
}

auto limit_log::append(std::vector<std::string> payloads) -> void {
    append_in_flight_ = true;
    connection_.append(
        limit_stream, payloads, [this](const result<std::uint64_t>& offset) {
            base_.on_control([this, offset] {
                append_in_flight_ = false;
                if (!offset) {
                    base_.log_.failure(transport::log_level::debug,
                                       "append failed", offset.error());
                }
            });
        });
}

} // namespace basilstream::daemon
