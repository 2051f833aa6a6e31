#include "basilstream/daemon/quarantine_gossip/quarantine_gossip.hpp"

#include <utility>
#include <variant>

namespace basilstream::daemon {

using coordination::payload_kind;

auto gossip_event(const coordination::suspicion& event, cluster& peers,
                  transport::logger& log) -> void {
    log.warning("request was in flight on a crashed backend server",
                {{"fingerprint", event.fingerprint_.to_string()},
                 {"runner", event.runner_}});
    // Suspicions under one key replace each other.
    peers.gossip(payload_kind::quarantine_suspicion,
                 event.run_id_.empty()
                     ? event.fingerprint_.to_string() + event.runner_
                     : event.run_id_,
                 protocol::encode_quarantine(event));
}

auto gossip_event(const coordination::clearance& event, cluster& peers)
    -> void {
    peers.gossip(payload_kind::quarantine_suspicion,
                 event.fingerprint_.to_string() + "clear",
                 protocol::encode_quarantine(event));
}

auto log_quarantine_mark(const coordination::quarantine_mark& event,
                         transport::logger& log) -> void {
    auto detail = std::string{"crashed"};
    for (const auto& runner : event.runners_) {
        detail.append(" ").append(runner);
    }
    log.warning(
        "request is quarantined",
        {{"fingerprint", event.fingerprint_.to_string()}, {"detail", detail}});
}

quarantine_gossip::quarantine_gossip(transport::logger& log, const clock& time,
                                     coordination::quarantine& tracker,
                                     cluster& peers, event_observer observer)
    : log_{log}, clock_{time},
      quarantine_{tracker}, peers_{peers}, observer_{std::move(observer)} {
    peers_.on_payload(payload_kind::quarantine_suspicion,
                      [this](const coordination::gossip_payload& payload) {
                          on_message(payload.origin_, payload.bytes_);
                      });
}

auto quarantine_gossip::tick() -> void {
    for (const auto& event : quarantine_.poll(clock_.now())) {
        observer_(event);
        if (const auto* crash = std::get_if<coordination::suspicion>(&event)) {
            gossip_event(*crash, peers_, log_);
        } else if (const auto* cleared =
                       std::get_if<coordination::clearance>(&event)) {
            gossip_event(*cleared, peers_);
        } else if (const auto* mark =
                       std::get_if<coordination::quarantine_mark>(&event)) {
            log_quarantine_mark(*mark, log_);
        }
        // Isolation requests and releases do not occur without an arbiter.
    }
}

auto quarantine_gossip::on_message(const std::string& sender,
                                   const std::string& bytes) -> void {
    const auto message = protocol::decode_quarantine(bytes);
    if (!message) {
        log_.failure(transport::log_level::warning,
                     "quarantine gossip from " + sender + " ignored",
                     message.error());
        return;
    }
    merge_message(*message, duration{0}, sender, quarantine_, clock_, log_);
}

auto merge_message(const protocol::quarantine_message& message, duration delay,
                   const std::string& sender, coordination::quarantine& tracker,
                   const clock& time, transport::logger& log) -> void {
    const auto now = time.now();
    if (const auto* suspicion =
            std::get_if<coordination::suspicion>(&message)) {
        auto crash = *suspicion;
        crash.age_ += delay;
        if (!tracker.merge(crash, now)) {
            return;
        }
        const auto age =
            std::chrono::duration_cast<milliseconds>(crash.age_).count();
        log.info("crash suspicion received",
                 {{"peer", sender},
                  {"fingerprint", crash.fingerprint_.to_string()},
                  {"runner", crash.runner_},
                  {"age_ms", std::to_string(age)}});
    } else if (const auto* clearance =
                   std::get_if<coordination::clearance>(&message)) {
        auto cleared = *clearance;
        for (auto& crash : cleared.crashes_) {
            crash.age_ += delay;
        }
        tracker.merge(cleared, now);
        log.info("crash suspicions cleared by a peer",
                 {{"peer", sender},
                  {"fingerprint", cleared.fingerprint_.to_string()}});
    } else {
        log.warning("quarantine message of unexpected kind ignored",
                    {{"peer", sender}});
    }
}

} // namespace basilstream::daemon
