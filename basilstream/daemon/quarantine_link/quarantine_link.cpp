#include "basilstream/daemon/quarantine_link/quarantine_link.hpp"

#include <chrono>

#include "basilstream/daemon/quarantine_gossip/quarantine_gossip.hpp"
#include "basilstream/protocol/quarantine_codec/quarantine_codec.hpp"

namespace basilstream::daemon {
namespace {

constexpr auto isolation_request_timeout = milliseconds{500};
constexpr auto retry_delay = milliseconds{1000};
// Lifetimes of a quarantine mark in the control log. An unconfirmed mark may be
// a false positive, so it expires sooner and its request can run again.
constexpr auto confirmed_lifetime = std::chrono::minutes{30};
constexpr auto unconfirmed_lifetime = std::chrono::minutes{2};

auto unix_milliseconds() -> std::uint64_t {
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
}

} // namespace

quarantine_link::quarantine_link(const context& base,
                                 const daemon_settings& settings,
                                 coordination::quarantine& quarantine,
                                 cluster& peers, control_log& log)
    : base_{base}, name_{settings.name_},
      quarantine_{quarantine}, peers_{peers}, control_log_{log} {
    peers_.on_channel(
        protocol::peer_channel::quarantine,
        [this](const std::string& sender, const std::string& bytes) {
            on_message(sender, bytes);
        });
    peers_.on_payload(coordination::payload_kind::quarantine_suspicion,
                      [this](const coordination::gossip_payload& payload) {
                          on_message(payload.origin_, payload.bytes_);
                      });
    peers_.on_members([this](const std::vector<std::string>& members) {
        quarantine_.set_members(members, base_.clock_.now());
    });
    control_log_.on_applied([this](const coordination::applied_record& record) {
        on_applied(record);
    });
    quarantine_.set_members({name_}, base_.clock_.now());
}

auto quarantine_link::request_isolation(
    const coordination::fingerprint_run& run, answer_handler answer) -> void {
    const auto now = base_.clock_.now();
    const auto request = quarantine_.make_isolation_request(run, now);
    pending_requests_[run.request_id_] = {std::move(answer),
                                          now + isolation_request_timeout};
    handle_event(request);
}

auto quarantine_link::tick() -> void {
    const auto now = base_.clock_.now();
    for (const auto& event : quarantine_.poll(now)) {
        std::visit([this](const auto& action) { handle_event(action); }, event);
    }
    for (auto entry = pending_requests_.begin();
         entry != pending_requests_.end();) {
        if (now < entry->second.deadline_) {
            ++entry;
            continue;
        }
        const auto expired = std::move(entry->second);
        entry = pending_requests_.erase(entry);
        expired.on_answer_(error{
            error_code::unavailable, step::admission, quarantine_.arbiter(),
            "arbiter did not answer the isolation request in time",
            run_status::not_run, retry_delay});
    }
}

auto quarantine_link::handle_event(const coordination::suspicion& event)
    -> void {
    gossip_event(event, peers_, base_.log_);
}

auto quarantine_link::handle_event(const coordination::clearance& event)
    -> void {
    gossip_event(event, peers_);
}

auto quarantine_link::handle_event(const coordination::quarantine_mark& event)
    -> void {
    auto detail = std::string{"crashed"};
    for (const auto& runner : event.runners_) {
        detail += " " + runner;
    }
    log_quarantine_mark(event, base_.log_);
    const auto lifetime =
        std::chrono::duration_cast<milliseconds>(
            event.confirmed_ ? confirmed_lifetime : unconfirmed_lifetime)
            .count();
    const auto submitted = control_log_.submit(
        coordination::append_purpose::orders,
        state::quarantine_mark{.fingerprint_ = event.fingerprint_.to_string(),
                               .detail_ = std::move(detail),
                               .expires_at_ms_ =
                                   unix_milliseconds() +
                                   static_cast<std::uint64_t>(lifetime)},
        [](const coordination::append_resolution&) {});
    if (!submitted) {
        base_.log_.failure(transport::log_level::warning,
                           "cannot write quarantine mark to the control log",
                           submitted.error());
    }
}

auto quarantine_link::handle_event(
    const coordination::quarantine_release& /*event*/) -> void {
    // Marks in the control log expire by themselves.
}

auto quarantine_link::handle_event(const coordination::isolation_request& event)
    -> void {
    if (quarantine_.arbiter() == name_) {
        on_isolation_answer(
            quarantine_.on_isolation_request(event, base_.clock_.now()));
        return;
    }
    peers_.send(quarantine_.arbiter(), protocol::peer_channel::quarantine,
                protocol::encode_quarantine(event));
}

auto quarantine_link::handle_event(const coordination::isolation_release& event)
    -> void {
    if (quarantine_.arbiter() == name_) {
        quarantine_.on_isolation_release(event, base_.clock_.now());
        return;
    }
    peers_.send(quarantine_.arbiter(), protocol::peer_channel::quarantine,
                protocol::encode_quarantine(event));
}

auto quarantine_link::on_message(const std::string& sender,
                                 const std::string& bytes) -> void {
    const auto message = protocol::decode_quarantine(bytes);
    if (!message) {
        return;
    }
    const auto now = base_.clock_.now();
    if (const auto* suspicion =
            std::get_if<coordination::suspicion>(&*message)) {
        static_cast<void>(quarantine_.merge(*suspicion, now));
    } else if (const auto* clearance =
                   std::get_if<coordination::clearance>(&*message)) {
        quarantine_.merge(*clearance, now);
    } else if (const auto* request =
                   std::get_if<coordination::isolation_request>(&*message)) {
        peers_.send(sender, protocol::peer_channel::quarantine,
                    protocol::encode_quarantine(
                        quarantine_.on_isolation_request(*request, now)));
    } else if (const auto* answer =
                   std::get_if<coordination::isolation_answer>(&*message)) {
        on_isolation_answer(*answer);
    } else if (const auto* release =
                   std::get_if<coordination::isolation_release>(&*message)) {
        quarantine_.on_isolation_release(*release, now);
    }
}

auto quarantine_link::on_isolation_answer(
    const coordination::isolation_answer& answer) -> void {
    quarantine_.on_isolation_answer(answer, base_.clock_.now());
    const auto found = pending_requests_.find(answer.request_id_);
    if (found == pending_requests_.end()) {
        // This answers a renewal or arrived after the time-out. The quarantine
        // releases an unused grant.
        return;
    }
    const auto pending = std::move(found->second);
    pending_requests_.erase(found);
    pending.on_answer_(
        answer.refusal_
            ? std::optional{coordination::quarantine::make_isolation_error(
                  answer)}
            : std::nullopt);
}

auto quarantine_link::on_applied(const coordination::applied_record& record)
    -> void {
    if (!record.outcome_.valid()) {
        return;
    }
    if (const auto* mark =
            std::get_if<state::quarantine_mark>(&record.envelope_.body_)) {
        apply_mark(*mark);
    } else if (const auto* lift = std::get_if<state::quarantine_lift>(
                   &record.envelope_.body_)) {
        if (const auto fingerprint =
                coordination::parse_fingerprint(lift->fingerprint_)) {
            quarantine_.lift(*fingerprint, base_.clock_.now());
        }
    }
}

auto quarantine_link::apply_mark(const state::quarantine_mark& mark) -> void {
    const auto fingerprint = coordination::parse_fingerprint(mark.fingerprint_);
    const auto now_ms = unix_milliseconds();
    if (!fingerprint || mark.expires_at_ms_ <= now_ms) {
        return;
    }
    // The record does not say whether the mark is confirmed. A mark with more
    // than the unconfirmed lifetime left must be; any other is treated as
    // unconfirmed, so that it blocks requests only for that lifetime.
    const auto remaining = milliseconds{mark.expires_at_ms_ - now_ms};
    quarantine_.apply({.fingerprint_ = *fingerprint,
                       .runners_ = {mark.detail_},
                       .confirmed_ = remaining > unconfirmed_lifetime},
                      base_.clock_.now());
}

auto quarantine_link::reload_marks() -> void {
    for (const auto& [fingerprint, mark] : control_log_.state().quarantines()) {
        apply_mark(mark);
    }
}

} // namespace basilstream::daemon
