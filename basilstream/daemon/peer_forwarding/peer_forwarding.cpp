#include "basilstream/daemon/peer_forwarding/peer_forwarding.hpp"

#include <algorithm>
#include <utility>

namespace basilstream::daemon {
namespace {

// Number of daemons asked at a time.
constexpr auto daemons_to_ask = std::size_t{6};
constexpr auto question_interval = milliseconds{500};
constexpr auto offer_lifetime = milliseconds{2000};
// Time within which asked daemons answer.
constexpr auto answer_time = milliseconds{150};

auto make_key(random_source& random) -> std::string {
    constexpr auto words = 2;
    constexpr auto bound = std::uint64_t{1} << 62U;
    auto key = std::string{};
    for (auto word = 0; word < words; ++word) {
        key += std::to_string(random.below(bound)) + (word == 0 ? "-" : "");
    }
    return key;
}

} // namespace

peer_forwarding::peer_forwarding(const peer_forwarding_context& context,
                                 std::string self)
    : context_{context}, self_{std::move(self)}, key_{make_key(
                                                     context.random_)},
      questions_{context.metrics_.add_counter(
          "basilstream_forwarding_questions_total",
          "Times that other daemons were asked to take requests.")} {}

auto peer_forwarding::set_daemons(std::vector<std::string> daemons) -> void {
    others_ = std::move(daemons);
    std::erase(others_, self_);
    std::erase_if(offers_, [&](const auto& entry) {
        return std::find(others_.begin(), others_.end(), entry.first) ==
               others_.end();
    });
}

auto peer_forwarding::set_listener(std::string address,
                                   std::function<forwarding_state()> state)
    -> void {
    listener_ = std::move(address);
    state_ = std::move(state);
}

auto peer_forwarding::has_paused(time_point now) const -> bool {
    return now > next_question_ + 2 * question_interval;
}

auto peer_forwarding::seek() -> void {
    const auto now = context_.clock_.now();
    if (!send_ || now < next_question_) {
        return;
    }
    if (!asking_since_ || has_paused(now)) {
        asking_since_ = now;
    }
    next_question_ = now + question_interval;
    questions_.add();
    auto question = protocol::relay_update{};
    question.asks_for_forwarding_ = true;
    // Neighbours by name are often of one availability zone, which may be cut
    // as a whole.
    auto order = others_;
    const auto count = std::min(order.size(), daemons_to_ask);
    for (auto index = std::size_t{0}; index < count; ++index) {
        const auto left = order.size() - index;
        std::swap(order[index], order[index + context_.random_.below(left)]);
        (void)send_(order[index], question);
    }
}

auto peer_forwarding::on_update(const std::string& sender,
                                const protocol::relay_update& update) -> void {
    if (update.asks_for_forwarding_ && state_ && send_) {
        const auto state = state_();
        auto reply = protocol::relay_update{};
        reply.forwarding_offer_ = {
            listener_, key_, state.unreached_,
            static_cast<std::uint32_t>(state.in_progress_)};
        (void)send_(sender, reply);
    }
    if (const auto& given = update.forwarding_offer_) {
        offers_[sender] = {{sender, given->address_, given->key_},
                           {given->unreached_.begin(), given->unreached_.end()},
                           given->in_progress_,
                           context_.clock_.now() + offer_lifetime};
    }
}

auto peer_forwarding::choose(const std::string& service,
                             const std::vector<std::string>& excluded)
    -> std::optional<forwarding_helper> {
    const auto now = context_.clock_.now();
    auto usable = std::vector<offer*>{};
    for (auto& [name, entry] : offers_) {
        const auto is_excluded =
            std::find(excluded.begin(), excluded.end(), name) != excluded.end();
        if (now < entry.valid_until_ && !entry.unreached_.contains(service) &&
            !is_excluded) {
            usable.push_back(&entry);
        }
    }
    if (usable.empty()) {
        return std::nullopt;
    }
    auto* const left = usable[context_.random_.below(usable.size())];
    auto* const right = usable[context_.random_.below(usable.size())];
    auto* const chosen =
        left->in_progress_ <= right->in_progress_ ? left : right;
    // Counts until the helper tells its load again.
    ++chosen->in_progress_;
    return chosen->helper_;
}

auto peer_forwarding::has_offer(const std::string& service) const -> bool {
    const auto now = context_.clock_.now();
    return std::any_of(offers_.begin(), offers_.end(), [&](const auto& entry) {
        return now < entry.second.valid_until_ &&
               !entry.second.unreached_.contains(service);
    });
}

auto peer_forwarding::has_asked() const -> bool {
    const auto now = context_.clock_.now();
    return others_.empty() || (asking_since_ && !has_paused(now) &&
                               now >= *asking_since_ + answer_time);
}

auto peer_forwarding::on_failed(const std::string& helper) -> void {
    offers_.erase(helper);
}

auto peer_forwarding::on_unreached(const std::string& helper,
                                   const std::string& service) -> void {
    if (const auto found = offers_.find(helper); found != offers_.end()) {
        found->second.unreached_.insert(service);
    }
}

} // namespace basilstream::daemon
