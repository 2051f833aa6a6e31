#include <algorithm>
#include <unordered_map>

#include "basilstream/base/random/random.hpp"
#include "basilstream/coordination/admission/admission.hpp"
#include "basilstream/coordination/retries/retries.hpp"
#include "basilstream/coordination/routing/routing.hpp"
#include "bench/traffic_benchmark/internal/daemons.hpp"

namespace basilstream::bench::internal {
namespace {

using namespace coordination;

constexpr auto zones = 3;
constexpr auto report_interval = seconds{1};
constexpr auto report_lag = milliseconds{500};
constexpr auto cache_event_lag = milliseconds{300};
// Cache events lost, in a hundred.
constexpr auto cache_event_loss = std::uint64_t{2};

// One daemon: the decision modules and the tries it has in hand.
struct daemon {
    daemon(std::uint64_t seed, std::string zone)
        : random_{seed}, router_{{.zone_ = std::move(zone)}, random_},
          gate_{{}, router_, random_}, retries_{{}, random_} {}

    struct in_hand {
        caller_try request_;
        std::vector<std::string> failed_ = {};
        int attempts_ = 0;
        int runner_ = -1;
        time_point dispatched_ = {};
        duration first_token_ = {};
        // Tokens that have reached the caller.
        int delivered_ = 0;
    };

    seeded_random random_;
    router router_;
    admission gate_;
    retry_policy retries_;
    std::unordered_map<std::uint64_t, in_hand> tries_;
    time_point wakeup_ = time_point::max();
};

class basilstream_daemons final : public daemons {
public:
    basilstream_daemons(const scenario& settings, event_loop& loop)
        : settings_{settings}, loop_{loop}, random_{settings.seed_ + 1},
          runners_{make_runners(settings, loop, false)} {
        for (auto each = 0; each < settings.daemons_; ++each) {
            daemons_.push_back(std::make_unique<daemon>(
                settings.seed_ * 1000 + static_cast<std::uint64_t>(each),
                std::to_string(each % zones)));
        }
        for (auto each = 0; each < settings.runners_; ++each) {
            add_runner(each);
        }
        report();
    }

    auto submit(caller_try request) -> void override {
        auto& owner = *daemons_[request.daemon_];
        const auto id = request.id_;
        owner_of_[id] = request.daemon_;
        owner.retries_.on_request(loop_.now());
        owner.tries_.emplace(id, daemon::in_hand{std::move(request)});
        enter(owner, id);
        poll(owner);
    }
    auto abandon(std::uint64_t id) -> void override {
        const auto found = owner_of_.find(id);
        if (found == owner_of_.end()) {
            return;
        }
        auto& owner = *daemons_[found->second];
        const auto runner = owner.tries_.at(id).runner_;
        forget(owner, id);
        if (runner >= 0) {
            runners_[runner]->cancel(id);
            owner.gate_.on_release({.request_id_ = std::to_string(id),
                                    .outcome_ = attempt_outcome::cancelled},
                                   loop_.now());
        } else {
            owner.gate_.cancel(std::to_string(id));
        }
        poll(owner);
    }
    auto crash(int runner, duration down) -> int override {
        return crash_runner(*runners_[runner], down);
    }
    auto runs() const -> std::uint64_t override { return count_runs(runners_); }
    auto no_slot() const -> std::uint64_t override { return no_slot_; }
    auto cached_share() const -> double override {
        return share_of_hits(runners_);
    }

private:
    static auto runner_name(int index) -> std::string {
        return "r" + std::to_string(index);
    }
    auto add_runner(int index) -> void {
        auto info = runner_info{.name_ = runner_name(index),
                                .address_ = std::to_string(index),
                                .zone_ = std::to_string(index % zones),
                                .slots_ = settings_.slots_};
        for (auto model = 0; model < settings_.models_; ++model) {
            for (auto rank = 0; rank < settings_.replicas_; ++rank) {
                if (replica_of(settings_, model, rank) == index) {
                    info.residents_.push_back({.model_ = std::to_string(model),
                                               .version_ = "v1",
                                               .adapters_ = {}});
                }
            }
        }
        for (auto& each : daemons_) {
            each->router_.update_runner(info);
            each->gate_.set_runner(info.name_, settings_.slots_);
        }
        runners_[index]->listen([this, index, sequence = std::uint64_t{0}](
                                    std::uint64_t prefix, bool stored) mutable {
            publish({runner_name(index), ++sequence, stored,
                     std::to_string(prefix >> 32U), prefix});
        });
    }
    auto publish(cache_event event) -> void {
        for (auto& each : daemons_) {
            if (random_.below(100) >= cache_event_loss) {
                loop_.after(cache_event_lag, [&routes = each->router_, event] {
                    routes.on_cache_event(event);
                });
            }
        }
    }
    auto report() -> void {
        ++report_sequence_;
        for (auto index = 0; index < settings_.runners_; ++index) {
            const auto seen = load_report{runner_name(index), report_sequence_,
                                          runners_[index]->running(),
                                          runners_[index]->waiting()};
            loop_.after(report_lag, [this, seen] {
                for (auto& each : daemons_) {
                    each->router_.on_load_report(seen, loop_.now());
                    each->gate_.on_runner_waiting(seen.runner_, seen.waiting_,
                                                  loop_.now());
                }
            });
        }
        loop_.after(report_interval, [this] { report(); });
    }

    auto enter(daemon& owner, std::uint64_t id) -> void {
        const auto& mine = owner.tries_.at(id);
        const auto& request = mine.request_;
        const auto event = owner.gate_.submit(
            {.request_id_ = std::to_string(id),
             .organisation_ = std::to_string(request.model_ % 2),
             .model_ = std::to_string(request.model_),
             .prefix_hash_ = request.prefix_,
             .first_token_deadline_ = mine.delivered_ > 0
                                          ? time_point::max()
                                          : request.first_token_deadline_,
             .deadline_ = request.deadline_,
             .max_tokens_ = 2 * (request.tokens_ - mine.delivered_),
             .excluded_ = mine.failed_},
            loop_.now());
        if (event.outcome_ != admission_outcome::queued) {
            act(owner, event);
        }
    }
    auto poll(daemon& owner) -> void {
        for (const auto& event : owner.gate_.poll(loop_.now())) {
            act(owner, event);
        }
        const auto next = owner.gate_.next_wakeup();
        if (next && *next < owner.wakeup_) {
            owner.wakeup_ = *next;
            loop_.at(std::max(*next, loop_.now()), [this, &owner] {
                owner.wakeup_ = time_point::max();
                poll(owner);
            });
        }
    }
    auto act(daemon& owner, const admission_event& event) -> void {
        const auto id = std::stoull(event.request_id_);
        if (event.outcome_ == admission_outcome::refused) {
            refuse(owner, id, *event.error_);
            return;
        }
        auto& mine = owner.tries_.at(id);
        mine.runner_ = std::stoi(event.route_->address_);
        ++mine.attempts_;
        mine.dispatched_ = loop_.now();
        loop_.after(network_delay, [this, &owner, id] { dispatch(owner, id); });
    }
    auto dispatch(daemon& owner, std::uint64_t id) -> void {
        const auto found = owner.tries_.find(id);
        if (found == owner.tries_.end()) {
            return;
        }
        auto& mine = found->second;
        const auto outcome = runners_[mine.runner_]->start(
            {id, mine.request_.prefix_, mine.request_.tokens_ - mine.delivered_,
             [this, &owner, id] { first_token(owner, id); },
             [this, &owner, id] { finish(owner, id); },
             [this, &owner, id](int sent) {
                 retry(owner, id, sent);
             }});
        if (outcome == start_outcome::no_slot) {
            ++no_slot_;
            on_no_slot(owner, id);
        } else if (outcome == start_outcome::down) {
            retry(owner, id, 0);
        }
    }
    auto first_token(daemon& owner, std::uint64_t id) -> void {
        auto& mine = owner.tries_.at(id);
        mine.first_token_ = loop_.now() - mine.dispatched_;
        mine.request_.on_first_token_();
    }
    auto finish(daemon& owner, std::uint64_t id) -> void {
        const auto& mine = owner.tries_.at(id);
        const auto tokens = mine.request_.tokens_ - mine.delivered_;
        const auto generation =
            loop_.now() - mine.dispatched_ - mine.first_token_;
        owner.gate_.on_release(
            {.request_id_ = std::to_string(id),
             .outcome_ = attempt_outcome::completed,
             .first_token_ = mine.first_token_,
             .token_interval_ = generation / std::max(tokens - 1, 1),
             .tokens_ = tokens},
            loop_.now());
        owner.router_.on_success(runner_name(mine.runner_));
        const auto done = mine.request_.on_finished_;
        forget(owner, id);
        done();
        poll(owner);
    }
    // It has not run and the limit has come down: back to the queue, as often
    // as the caller's wait allows, without a retry from the budget.
    auto on_no_slot(daemon& owner, std::uint64_t id) -> void {
        owner.gate_.on_release({.request_id_ = std::to_string(id),
                                .outcome_ = attempt_outcome::no_slot},
                               loop_.now());
        owner.tries_.at(id).runner_ = -1;
        enter(owner, id);
        poll(owner);
    }
    // After a crash, or when the connection was refused.
    auto retry(daemon& owner, std::uint64_t id, int sent) -> void {
        const auto now = loop_.now();
        auto& mine = owner.tries_.at(id);
        mine.delivered_ += sent;
        owner.gate_.on_release({.request_id_ = std::to_string(id),
                                .outcome_ = attempt_outcome::failed},
                               now);
        owner.router_.on_failure(runner_name(mine.runner_), now);
        const auto decision = owner.retries_.decide(
            {.error_ = {.code_ = error_code::unavailable,
                        .step_ = step::runner,
                        .run_ = run_status::unknown},
             .runner_ = runner_name(mine.runner_),
             .attempts_ = mine.attempts_,
             .idempotent_ = true,
             .delivered_ = static_cast<std::uint64_t>(mine.delivered_),
             .resumable_ = true,
             .deadline_ = mine.request_.deadline_,
             .failed_runners_ = mine.failed_},
            now);
        mine.runner_ = -1;
        mine.failed_ = decision.excluded_;
        if (!decision.retry_) {
            refuse(owner, id, *decision.error_);
        } else {
            loop_.at(decision.not_before_, [this, &owner, id] {
                if (owner.tries_.contains(id)) {
                    enter(owner, id);
                    poll(owner);
                }
            });
        }
        poll(owner);
    }
    auto refuse(daemon& owner, std::uint64_t id, const error& reason) -> void {
        const auto hint = reason.retry_after_.value_or(milliseconds{1000});
        const auto tell = owner.tries_.at(id).request_.on_refused_;
        forget(owner, id);
        tell(hint);
    }
    auto forget(daemon& owner, std::uint64_t id) -> void {
        owner.tries_.erase(id);
        owner_of_.erase(id);
    }

    scenario settings_;
    event_loop& loop_;
    seeded_random random_;
    runners runners_;
    std::vector<std::unique_ptr<daemon>> daemons_;
    std::unordered_map<std::uint64_t, int> owner_of_;
    std::uint64_t report_sequence_ = 0;
    std::uint64_t no_slot_ = 0;
};

} // namespace

auto make_basilstream_daemons(const scenario& settings, event_loop& loop)
    -> std::unique_ptr<daemons> {
    return std::make_unique<basilstream_daemons>(settings, loop);
}

} // namespace basilstream::bench::internal
