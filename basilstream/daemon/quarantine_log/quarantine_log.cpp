#include "basilstream/daemon/quarantine_log/quarantine_log.hpp"

#include <algorithm>
#include <iterator>
#include <utility>
#include <variant>

#include "basilstream/daemon/prompt_sharing/prompt_sharing.hpp"
#include "basilstream/daemon/quarantine_gossip/quarantine_gossip.hpp"

namespace basilstream::daemon {
namespace {

using coordination::clearance;
using coordination::prompt_crash;
using coordination::prompt_part_mark;
using coordination::prompt_part_release;
using coordination::quarantine_mark;
using coordination::quarantine_release;
using coordination::suspicion;

// Records of marks of requests, of marks of parts and of batches share the
// topic and differ in this prefix.
constexpr auto mark_prefix = std::string_view{"mark/"};
constexpr auto part_prefix = std::string_view{"part/"};
constexpr auto batch_prefix = std::string_view{"daemon/"};
// Keeps a record of about 100 bytes a message below the store's 256 KB.
constexpr auto max_batch = std::size_t{1000};
// A runner has at most some hundred requests of one daemon; several may crash
// while the store is unavailable. Above this, the oldest messages are dropped.
constexpr auto max_pending = std::size_t{10'000};
// Time for which messages are collected into one batch. Other daemons learn of
// a crash by gossip; the log is for those that miss it, and for processes that
// start later. The more daemons there are, the longer each collects, so that
// all together make no more than some 80 writes a second.
constexpr auto min_batch_interval = milliseconds{100};
constexpr auto max_batch_interval = milliseconds{1000};
constexpr auto batch_interval_per_daemon = milliseconds{12};
// With more daemons, a crash of a server reaches each of them as several
// messages within a second, so that the first of them is held back as well.
constexpr auto max_daemons_without_delay = std::size_t{12};
// Bounds of the backoff after a failed write; jitter takes off up to half.
constexpr auto initial_backoff = milliseconds{200};
constexpr auto max_backoff = milliseconds{1000};

auto mark_key(const coordination::fingerprint& print) -> std::string {
    return std::string{mark_prefix} + print.to_string();
}

auto part_key(coordination::prompt_part_id part) -> std::string {
    return std::string{part_prefix} + coordination::format_part(part);
}

// Returns the key of a message that has a record of its own.
auto own_key(const protocol::quarantine_message& message)
    -> std::optional<std::string> {
    if (const auto* mark = std::get_if<quarantine_mark>(&message)) {
        return mark_key(mark->fingerprint_);
    }
    if (const auto* mark = std::get_if<prompt_part_mark>(&message)) {
        return part_key(mark->part_);
    }
    if (const auto* release = std::get_if<prompt_part_release>(&message)) {
        return part_key(release->part_);
    }
    return std::nullopt;
}

// Makes the ages in a message relative to a moment that is `elapsed` later.
struct age_adjustment {
    auto operator()(suspicion& message) const -> void {
        message.age_ += elapsed_;
    }
    auto operator()(clearance& message) const -> void {
        for (auto& crash : message.crashes_) {
            crash.age_ += elapsed_;
        }
    }
    auto operator()(quarantine_mark& message) const -> void {
        message.age_ += elapsed_;
    }
    auto operator()(prompt_crash& message) const -> void {
        message.age_ += elapsed_;
    }
    auto operator()(prompt_part_mark& message) const -> void {
        message.age_ += elapsed_;
    }
    template <class Other>
    auto operator()(Other& /*without ages*/) const -> void {}
    duration elapsed_;
};

} // namespace

quarantine_log::quarantine_log(const quarantine_log_context& context,
                               std::string name,
                               coordination::quarantine& tracker,
                               coordination::prompt_quarantine& prompts,
                               coordination::record_store& store)
    : context_{context}, name_{std::move(name)}, quarantine_{tracker},
      prompts_{prompts}, store_{store}, batch_interval_{min_batch_interval} {}

auto quarantine_log::set_daemons(std::size_t count) -> void {
    batch_interval_ = std::clamp<duration>(
        batch_interval_per_daemon * static_cast<int>(count), min_batch_interval,
        max_batch_interval);
    first_delay_ =
        count > max_daemons_without_delay ? batch_interval_ / 2 : duration{0};
}

auto quarantine_log::publish(const protocol::quarantine_message& message)
    -> void {
    queue({message, context_.clock_.now()});
}

auto quarantine_log::publish(const coordination::quarantine_event& event)
    -> void {
    const auto now = context_.clock_.now();
    if (const auto* crash = std::get_if<suspicion>(&event)) {
        queue({*crash, now});
    } else if (const auto* cleared = std::get_if<clearance>(&event)) {
        queue({*cleared, now});
    } else if (const auto* mark = std::get_if<quarantine_mark>(&event)) {
        queue({*mark, now});
    } else if (const auto* release = std::get_if<quarantine_release>(&event)) {
        context_.log_.info(
            "quarantine mark removed",
            {{"fingerprint", release->fingerprint_.to_string()}});
        queue({*release, now});
    }
}

auto quarantine_log::queue(pending_write write) -> void {
    if (pending_.size() >= max_pending) {
        context_.log_.warning("quarantine message dropped: too many wait to be "
                              "written to the shared store");
        pending_.pop_front();
    }
    if (pending_.empty() && in_flight_.empty()) {
        next_append_at_ =
            std::max(next_append_at_, context_.clock_.now() + first_delay_);
    }
    pending_.push_back(std::move(write));
}

auto quarantine_log::take_batch() -> std::string {
    // A mark and its removal have a record of their own.
    const auto key_of = [](const pending_write& pending) {
        const auto* release =
            std::get_if<quarantine_release>(&pending.content_);
        return release != nullptr
                   ? std::optional{mark_key(release->fingerprint_)}
                   : own_key(std::get<protocol::quarantine_message>(
                         pending.content_));
    };
    auto key = key_of(pending_.front());
    do {
        in_flight_.push_back(std::move(pending_.front()));
        pending_.pop_front();
    } while (!key && !pending_.empty() && !key_of(pending_.front()) &&
             in_flight_.size() < max_batch);
    return key.value_or(std::string{batch_prefix} + name_);
}

auto quarantine_log::encode_in_flight() const -> std::optional<std::string> {
    auto record =
        protocol::quarantine_record{context_.wall_clock_.unix_time(), {}};
    const auto now = context_.clock_.now();
    for (const auto& pending : in_flight_) {
        const auto* const content =
            std::get_if<protocol::quarantine_message>(&pending.content_);
        if (content == nullptr ||
            std::holds_alternative<prompt_part_release>(*content)) {
            return std::nullopt;
        }
        auto message = *content;
        std::visit(age_adjustment{now - pending.created_at_}, message);
        record.messages_.push_back(std::move(message));
    }
    return protocol::encode_quarantine(record);
}

auto quarantine_log::tick() -> void {
    const auto now = context_.clock_.now();
    if (pending_.empty() || !in_flight_.empty() || now < next_append_at_) {
        return;
    }
    next_append_at_ = now + batch_interval_;
    auto key = take_batch();
    store_.append(coordination::shared_topic::quarantine, std::nullopt,
                  {std::move(key), encode_in_flight()},
                  [this](const result<coordination::append_outcome>& outcome) {
                      on_appended(outcome);
                  });
}

auto quarantine_log::on_appended(
    const result<coordination::append_outcome>& outcome) -> void {
    if (outcome) {
        in_flight_.clear();
        if (std::exchange(failures_, 0) > 0) {
            context_.log_.info("quarantine records are written again");
        }
        return;
    }
    if (failures_ == 0) {
        context_.log_.failure(transport::log_level::warning,
                              "writing a quarantine record failed",
                              outcome.error());
    }
    pending_.insert(pending_.begin(),
                    std::make_move_iterator(in_flight_.begin()),
                    std::make_move_iterator(in_flight_.end()));
    in_flight_.clear();
    const auto doublings = std::min(failures_++, 10);
    const auto bound =
        std::min(initial_backoff * (1 << doublings), max_backoff);
    const auto jitter = 0.5 + 0.5 * context_.random_.fraction();
    next_append_at_ =
        context_.clock_.now() +
        duration{static_cast<duration::rep>(
            jitter * static_cast<double>(duration{bound}.count()))};
}

auto quarantine_log::apply(const coordination::store_record& record) -> void {
    if (!record.value_) {
        apply_removal(record.key_);
        return;
    }
    const auto decoded = protocol::decode_quarantine_record(*record.value_);
    if (!decoded) {
        context_.log_.failure(transport::log_level::warning,
                              "undecodable quarantine record ignored",
                              decoded.error());
        return;
    }
    const auto delay =
        std::max(context_.wall_clock_.unix_time() - decoded->written_at_,
                 milliseconds{0});
    for (const auto& message : decoded->messages_) {
        apply_message(message, delay, record.key_);
    }
}

auto quarantine_log::apply_removal(std::string_view key) -> void {
    if (key.starts_with(part_prefix)) {
        key.remove_prefix(part_prefix.size());
        if (const auto part = coordination::parse_part(key)) {
            prompts_.merge(prompt_part_release{*part}, context_.clock_.now());
        }
        return;
    }
    if (!key.starts_with(mark_prefix)) {
        return;
    }
    key.remove_prefix(mark_prefix.size());
    if (const auto print = coordination::parse_fingerprint(key)) {
        quarantine_.lift(*print, context_.clock_.now());
    }
}

auto quarantine_log::apply_message(const protocol::quarantine_message& message,
                                   duration delay, const std::string& key)
    -> void {
    if (merge_prompt_message(message, delay, prompts_, context_.clock_.now())) {
        return;
    }
    const auto* const stored = std::get_if<quarantine_mark>(&message);
    if (stored == nullptr) {
        merge_message(message, delay, key, quarantine_, context_.clock_,
                      context_.log_);
        return;
    }
    const auto now = context_.clock_.now();
    const auto known = quarantine_.check(stored->fingerprint_, now) ==
                       coordination::quarantine_verdict::quarantined;
    auto mark = *stored;
    mark.age_ += delay;
    quarantine_.apply(mark, now);
    if (!known) {
        context_.log_.info("quarantine mark read from the shared store",
                           {{"fingerprint", mark.fingerprint_.to_string()}});
    }
}

} // namespace basilstream::daemon
