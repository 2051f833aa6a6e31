#include "bench/traffic_benchmark/traffic.hpp"

#include <algorithm>
#include <cmath>
#include <unordered_map>
#include <vector>

#include "basilstream/base/random/random.hpp"
#include "bench/traffic_benchmark/internal/daemons.hpp"

namespace basilstream::bench {
namespace {

using internal::caller_try;

constexpr auto first_token_bound = milliseconds{1300};
constexpr auto token_bound = milliseconds{78};
constexpr auto fewest_tokens = 20;
constexpr auto most_tokens = 100;
constexpr auto mean_tokens = (fewest_tokens + most_tokens) / 2.0;
constexpr auto prefixes_per_model = std::uint64_t{40};

// What is known of one request across its caller's tries.
struct request {
    int model_ = 0;
    std::uint64_t prefix_ = 0;
    int tokens_ = 1;
    int tries_ = 0;
    bool measured_ = false;
    std::uint64_t current_try_ = 0;
    bool first_token_ = false;
    time_point since_;
};

class callers {
public:
    callers(const scenario& settings, internal::event_loop& loop,
            internal::daemons& served)
        : settings_{settings}, loop_{loop}, daemons_{served},
          arrivals_{settings.seed_}, random_{settings.seed_ + 1} {
        seen_.capacity_per_second_ = capacity();
        arrive();
        for (auto each = 0; each < settings_.crashes_; ++each) {
            loop_.at(
                time_point{settings_.warm_up_ +
                           each * settings_.measured_ / settings_.crashes_},
                [this, each] {
                    seen_.crashed_runs_ +=
                        static_cast<std::uint64_t>(daemons_.crash(
                            each % settings_.runners_, settings_.down_));
                });
        }
    }

    auto result() -> figures {
        const auto span = std::chrono::duration<double>{settings_.measured_};
        seen_.goodput_per_second_ =
            static_cast<double>(seen_.served_) / span.count();
        seen_.attainment_ = static_cast<double>(seen_.served_) /
                            static_cast<double>(seen_.requests_);
        std::sort(first_tokens_.begin(), first_tokens_.end());
        if (!first_tokens_.empty()) {
            seen_.first_token_p95_ms_ =
                first_tokens_[first_tokens_.size() * 95 / 100];
        }
        seen_.runs_ = daemons_.runs();
        seen_.no_slot_ = daemons_.no_slot();
        seen_.cached_share_ = daemons_.cached_share();
        return seen_;
    }

private:
    // With all slots taken and nothing cached.
    auto capacity() const -> double {
        const auto service = std::chrono::duration<double>{
            internal::fake_runner::full_service(mean_tokens, settings_.slots_)};
        return settings_.runners_ * settings_.slots_ / service.count();
    }
    // Arrivals have their own random numbers, the same for each policy.
    auto arrive() -> void {
        const auto rate = settings_.load_ * capacity();
        const auto gap = -std::log(1 - arrivals_.fraction()) / rate;
        loop_.after(std::chrono::duration_cast<duration>(
                        std::chrono::duration<double>{gap}),
                    [this] {
                        begin();
                        arrive();
                    });
    }
    auto begin() -> void {
        const auto id = next_id_++;
        auto& made = requests_[id];
        made.model_ = static_cast<int>(
            arrivals_.below(static_cast<std::uint64_t>(settings_.models_)));
        // Squared, so that some prefixes are frequent.
        const auto skewed = arrivals_.fraction() * arrivals_.fraction();
        made.prefix_ = (static_cast<std::uint64_t>(made.model_) << 32U) + 1 +
                       static_cast<std::uint64_t>(skewed * prefixes_per_model);
        made.tokens_ =
            fewest_tokens +
            static_cast<int>(arrivals_.below(most_tokens - fewest_tokens + 1));
        const auto since = loop_.now().time_since_epoch();
        made.measured_ = since >= settings_.warm_up_ &&
                         since < settings_.warm_up_ + settings_.measured_;
        seen_.requests_ += made.measured_ ? 1 : 0;
        send(id);
    }
    auto send(std::uint64_t id) -> void {
        auto& mine = requests_.at(id);
        ++mine.tries_;
        seen_.tries_ += mine.measured_ ? 1 : 0;
        mine.current_try_ = next_try_++;
        mine.first_token_ = false;
        mine.since_ = loop_.now();
        const auto number = mine.current_try_;
        const auto due = loop_.now() + first_token_bound;
        loop_.at(due, [this, id, number] { wait_over(id, number); });
        daemons_.submit(
            {.id_ = number,
             .daemon_ = static_cast<int>(
                 random_.below(static_cast<std::uint64_t>(settings_.daemons_))),
             .model_ = mine.model_,
             .prefix_ = mine.prefix_,
             .tokens_ = mine.tokens_,
             .first_token_deadline_ = due,
             .deadline_ = due + mine.tokens_ * token_bound,
             .on_first_token_ = [this, id, number] { first_token(id, number); },
             .on_finished_ = [this, id, number] { finished(id, number); },
             .on_broken_ = [this, id, number] { broken(id, number); },
             .on_refused_ =
                 [this, id, number](duration hint) {
                     refused(id, number, hint);
                 }});
    }
    auto current(std::uint64_t id, std::uint64_t number) -> request* {
        const auto found = requests_.find(id);
        return found != requests_.end() && found->second.current_try_ == number
                   ? &found->second
                   : nullptr;
    }
    auto first_token(std::uint64_t id, std::uint64_t number) -> void {
        if (auto* const mine = current(id, number)) {
            mine->first_token_ = true;
            if (mine->measured_) {
                first_tokens_.push_back(
                    std::chrono::duration<double, std::milli>{loop_.now() -
                                                              mine->since_}
                        .count());
            }
        }
    }
    auto finished(std::uint64_t id, std::uint64_t number) -> void {
        const auto* const mine = current(id, number);
        if (mine == nullptr) {
            return;
        }
        const auto bound = first_token_bound + mine->tokens_ * token_bound;
        const auto served = loop_.now() - mine->since_ <= bound;
        if (mine->measured_) {
            seen_.served_ += served ? 1 : 0;
            seen_.served_at_first_try_ += served && mine->tries_ == 1 ? 1 : 0;
            seen_.late_tries_ += served ? 0 : 1;
        }
        requests_.erase(id);
    }
    auto broken(std::uint64_t id, std::uint64_t number) -> void {
        if (current(id, number) != nullptr) {
            again(id, {});
        }
    }
    auto wait_over(std::uint64_t id, std::uint64_t number) -> void {
        const auto* const mine = current(id, number);
        if (mine == nullptr || mine->first_token_) {
            return;
        }
        seen_.late_tries_ += mine->measured_ ? 1 : 0;
        daemons_.abandon(number);
        again(id, {});
    }
    auto refused(std::uint64_t id, std::uint64_t number, duration hint)
        -> void {
        const auto* const mine = current(id, number);
        if (mine == nullptr) {
            return;
        }
        if (mine->measured_) {
            ++seen_.refused_tries_;
            seen_.slowest_refusal_ms_ =
                std::max(seen_.slowest_refusal_ms_,
                         std::chrono::duration<double, std::milli>{loop_.now() -
                                                                   mine->since_}
                             .count());
        }
        again(id, hint);
    }
    auto again(std::uint64_t id, duration delay) -> void {
        auto& mine = requests_.at(id);
        mine.current_try_ = 0;
        if (mine.tries_ >= settings_.attempts_) {
            requests_.erase(id);
            return;
        }
        loop_.after(delay, [this, id] { send(id); });
    }

    scenario settings_;
    internal::event_loop& loop_;
    internal::daemons& daemons_;
    seeded_random arrivals_;
    seeded_random random_;
    std::unordered_map<std::uint64_t, request> requests_;
    std::vector<double> first_tokens_;
    std::uint64_t next_id_ = 1;
    std::uint64_t next_try_ = 1;
    figures seen_;
};

} // namespace

auto run(const scenario& settings) -> figures {
    auto loop = internal::event_loop{};
    const auto served = internal::make_daemons(settings, loop);
    auto load = callers{settings, loop, *served};
    // Time for the tries of the last measured requests, hints included.
    const auto rest = seconds{30};
    loop.run_until(time_point{settings.warm_up_ + settings.measured_ + rest});
    return load.result();
}

} // namespace basilstream::bench
