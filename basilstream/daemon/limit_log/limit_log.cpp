#include "basilstream/daemon/limit_log/limit_log.hpp"

namespace basilstream::daemon {
namespace {

constexpr auto limit_stream = "limits";
// A checkpoint is written after this many changes or this much time, far less
// than any retention period of the log. Random jitter of up to
// `checkpoint_jitter_s` keeps daemons from writing at the same time.
constexpr auto changes_per_checkpoint = std::uint64_t{512};
constexpr auto checkpoint_interval = std::chrono::minutes{10};
constexpr auto checkpoint_jitter_s = std::uint64_t{120};

} // namespace

limit_log::limit_log(const context& base, const daemon_settings& settings,
                     transport::log_connection& connection,
                     std::string incarnation)
    : base_{base}, connection_{connection}, deployment_{settings.deployment_},
      holder_{std::move(incarnation), settings_}, permits_{holder_},
      reader_{base, connection, limit_stream, 0,
              [this](const result<transport::log_read>& read) {
                  on_read(read);
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
    restore_empty_when_expired();
    if (!is_restored_ || append_in_flight_) {
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

auto limit_log::on_read(const result<transport::log_read>& read) -> void {
    if (!read) {
        return;
    }
    if (read->truncated_) {
        // Records were missed: the ledger is invalid until a checkpoint is
        // restored.
        truncated_ = true;
        is_restored_ = false;
        buffered_changes_.clear();
        next_offset_ = read->first_offset_;
        return;
    }
    if (!truncated_) {
        is_restored_ = true;
    }
    for (const auto& record : read->records_) {
        last_record_ = base_.clock_.now();
        apply_entry(record.offset_, protocol::decode_limit(record.bytes_));
        next_offset_ = record.offset_ + 1;
    }
    reader_.tick();
}

auto limit_log::apply_entry(std::uint64_t offset,
                            const protocol::limit_entry& entry) -> void {
    if (const auto* change = std::get_if<coordination::limit_record>(&entry)) {
        ++changes_since_checkpoint_;
        if (is_restored_) {
            holder_.on_record(*change, base_.clock_.now());
        } else {
            buffered_changes_.emplace_back(offset, *change);
        }
        return;
    }
    if (const auto* checkpoint =
            std::get_if<protocol::limit_checkpoint>(&entry)) {
        changes_since_checkpoint_ = 0;
        checkpoint_due_ = {};
        if (!is_restored_) {
            restore_checkpoint(*checkpoint);
        }
    }
}

// Restores the ledger from `checkpoint`, then replays the buffered changes from
// `at_offset_` on: these may have been appended after the ledger was copied and
// before the checkpoint was appended.
// Ignores the checkpoint if the first buffered change is later than
// `at_offset_`, because changes in between may have been missed.
auto limit_log::restore_checkpoint(const protocol::limit_checkpoint& checkpoint)
    -> void {
    const auto now = base_.clock_.now();
    const auto first_read = buffered_changes_.empty()
                                ? next_offset_
                                : buffered_changes_.front().first;
    if (checkpoint.at_offset_ < first_read && !buffered_changes_.empty()) {
        return;
    }
    holder_.restore(checkpoint.ledger_, now);
    define_limits();
    is_restored_ = true;
    for (const auto& [offset, change] : buffered_changes_) {
        if (offset >= checkpoint.at_offset_) {
            holder_.on_record(change, now);
        }
    }
    buffered_changes_.clear();
}

// Starts with an empty ledger if the whole stream has expired and no record was
// read for at least the sum of the lease, the maximum work duration and the
// clock drift margin: no holder can still hold any units then.
auto limit_log::restore_empty_when_expired() -> void {
    const auto required_silence = settings_.lease_ +
                                  settings_.max_work_duration_ +
                                  settings_.drift_margin_;
    if (is_restored_ || !truncated_ || !buffered_changes_.empty() ||
        base_.clock_.now() - last_record_ < required_silence) {
        return;
    }
    holder_.restore(coordination::limit_ledger{}, base_.clock_.now());
    define_limits();
    is_restored_ = true;
    changes_since_checkpoint_ = changes_per_checkpoint;
}

auto limit_log::write_checkpoint_when_due() -> void {
    const auto now = base_.clock_.now();
    if (checkpoint_due_ == time_point{}) {
        const auto jitter = seconds{base_.random_.below(checkpoint_jitter_s)};
        checkpoint_due_ = now + checkpoint_interval + jitter;
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
