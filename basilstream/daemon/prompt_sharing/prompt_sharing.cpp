#include "basilstream/daemon/prompt_sharing/prompt_sharing.hpp"

#include <algorithm>
#include <map>
#include <utility>
#include <variant>

namespace basilstream::daemon {
namespace {

// Up to this number of daemons, each tells all others of its crashes.
constexpr auto max_direct_daemons = std::size_t{12};

// Merges the kinds of messages that concern parts of prompts.
struct merger {
    auto operator()(coordination::prompt_crash message) const -> bool {
        message.age_ += delay_;
        tracker_.merge(message, now_);
        return true;
    }
    auto operator()(coordination::prompt_part_mark message) const -> bool {
        message.age_ += delay_;
        tracker_.merge(message, now_);
        return true;
    }
    auto operator()(const coordination::prompt_crash_refutation& message) const
        -> bool {
        tracker_.merge(message, now_);
        return true;
    }
    auto operator()(const coordination::prompt_part_clearance& message) const
        -> bool {
        tracker_.merge(message, now_);
        return true;
    }
    auto operator()(const coordination::prompt_part_release& message) const
        -> bool {
        tracker_.merge(message, now_);
        return true;
    }
    template <class Other>
    auto operator()(const Other& /*another matter*/) const -> bool {
        return false;
    }

    duration delay_;
    coordination::prompt_quarantine& tracker_;
    time_point now_;
};

} // namespace

auto merge_prompt_message(const protocol::quarantine_message& message,
                          duration delay,
                          coordination::prompt_quarantine& tracker,
                          time_point now) -> bool {
    return std::visit(merger{delay, tracker, now}, message);
}

prompt_sharing::prompt_sharing(const prompt_sharing_context& context,
                               std::string self,
                               coordination::prompt_quarantine& tracker,
                               publisher publish)
    : context_{context}, self_{std::move(self)}, tracker_{tracker},
      publish_{std::move(publish)} {}

auto prompt_sharing::set_daemons(const std::vector<std::string>& daemons)
    -> void {
    tracker_.set_members(daemons, context_.clock_.now());
    others_ = daemons;
    std::erase(others_, self_);
}

auto prompt_sharing::receivers_of(const protocol::quarantine_message& message)
    const -> std::vector<std::string> {
    const auto is_crash =
        std::holds_alternative<coordination::prompt_crash>(message);
    if (!is_crash || others_.size() < max_direct_daemons) {
        return others_;
    }
    return tracker_.arbiter() == self_
               ? std::vector<std::string>{}
               : std::vector<std::string>{tracker_.arbiter()};
}

auto prompt_sharing::tick() -> void {
    // One message to each daemon, whatever there is to tell.
    auto updates = std::map<std::string, protocol::relay_update>{};
    for (const auto& event : tracker_.poll(context_.clock_.now())) {
        const auto message = std::visit(
            [](const auto& content) {
                return protocol::quarantine_message{content};
            },
            event);
        publish_(message);
        const auto bytes = protocol::encode_quarantine(message);
        for (const auto& daemon : receivers_of(message)) {
            updates[daemon].quarantine_messages_.push_back(bytes);
        }
    }
    for (const auto& [daemon, update] : updates) {
        if (send_) {
            (void)send_(daemon, update);
        }
    }
    log_changes();
}

auto prompt_sharing::on_update(const std::string& sender,
                               const protocol::relay_update& update) -> void {
    for (const auto& bytes : update.quarantine_messages_) {
        const auto message = protocol::decode_quarantine(bytes);
        if (!message) {
            context_.log_.failure(transport::log_level::warning,
                                  "quarantine message from " + sender +
                                      " ignored",
                                  message.error());
            continue;
        }
        (void)merge_prompt_message(*message, duration{0}, tracker_,
                                   context_.clock_.now());
    }
}

auto prompt_sharing::log_changes() -> void {
    auto held = std::set<coordination::prompt_part_id>{};
    for (const auto& entry : tracker_.list()) {
        held.insert(entry.part_);
        if (!logged_.contains(entry.part_)) {
            context_.log_.warning(
                "prompt part is held",
                {{"part", coordination::format_part(entry.part_)},
                 {"ambiguous", entry.ambiguous_ ? "yes" : "no"},
                 {"failed_trials", std::to_string(entry.failed_trials_)}});
        }
    }
    for (const auto part : logged_) {
        if (!held.contains(part)) {
            context_.log_.info("prompt part is released",
                               {{"part", coordination::format_part(part)}});
        }
    }
    logged_ = std::move(held);
}

} // namespace basilstream::daemon
