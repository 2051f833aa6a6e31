#include "basilstream/daemon/listeners/listeners.hpp"

#include <algorithm>
#include <utility>

namespace basilstream::daemon {
namespace {

// A predecessor that is killed or drains lets go of its addresses within this
// time; a connection that holds one may last.
constexpr auto short_wait = seconds{10};
constexpr auto short_interval = milliseconds{100};
constexpr auto long_interval = milliseconds{1000};
// Lines about the same listener come at growing intervals.
constexpr auto first_line_interval = milliseconds{1000};
constexpr auto max_line_interval = seconds{30};

auto milliseconds_text(duration value) -> std::string {
    return std::to_string(
        std::chrono::duration_cast<milliseconds>(value).count());
}

} // namespace

listeners::listeners(const listeners_context& context) : context_{context} {
    context_.metrics_.add_gauge(
        "basilstream_listeners_unavailable",
        "Listeners whose address is not available.", [this] {
            return static_cast<double>(std::count_if(
                listeners_.begin(), listeners_.end(),
                [](const auto& each) { return each.address_.empty(); }));
        });
}

auto listeners::add(listener_kind kind, opener open) -> result<void> {
    const auto now = context_.clock_.now();
    auto added = listener{kind, std::move(open), now, now, now};
    auto opened = attempt(added);
    listeners_.push_back(std::move(added));
    return opened;
}

auto listeners::tick() -> void {
    const auto now = context_.clock_.now();
    for (auto& each : listeners_) {
        if (each.address_.empty() && now >= each.next_attempt_at_) {
            (void)attempt(each);
        }
    }
}

auto listeners::is_open(listener_kind kind) const -> bool {
    return std::any_of(listeners_.begin(), listeners_.end(),
                       [kind](const auto& each) {
                           return each.kind_ == kind && !each.address_.empty();
                       });
}

auto listeners::status() const -> std::vector<listener_status> {
    const auto now = context_.clock_.now();
    auto entries = std::vector<listener_status>{};
    for (const auto& each : listeners_) {
        entries.push_back({each.kind_, each.address_, each.detail_,
                           each.attempts_,
                           each.address_.empty() ? now - each.first_attempt_at_
                                                 : each.waited_});
    }
    return entries;
}

auto listeners::attempt(listener& target) -> result<void> {
    const auto now = context_.clock_.now();
    target.waited_ = now - target.first_attempt_at_;
    target.next_attempt_at_ =
        now + (target.waited_ < short_wait ? short_interval : long_interval);
    ++target.attempts_;
    auto opened = target.open_();
    if (!opened) {
        log_failure(target, opened.error());
        return opened.error().code_ == error_code::unavailable
                   ? result<void>{}
                   : tl::unexpected(opened.error());
    }
    target.address_ = std::move(*opened);
    target.detail_.clear();
    context_.log_.info("listening",
                       {{"listener", listener_kind_names.name_of(target.kind_)},
                        {"address", target.address_},
                        {"attempts", std::to_string(target.attempts_)},
                        {"waited_ms", milliseconds_text(target.waited_)}});
    return {};
}

auto listeners::log_failure(listener& target, const error& failure) -> void {
    const auto now = context_.clock_.now();
    target.detail_ = failure.detail_;
    if (now < target.next_line_at_) {
        return;
    }
    target.next_line_at_ =
        now + std::clamp<duration>(target.waited_, first_line_interval,
                                   max_line_interval);
    context_.log_.warning(
        "address is not available",
        {{"listener", listener_kind_names.name_of(target.kind_)},
         {"address", failure.peer_},
         {"detail", failure.detail_},
         {"attempts", std::to_string(target.attempts_)},
         {"waited_ms", milliseconds_text(target.waited_)}});
}

} // namespace basilstream::daemon
