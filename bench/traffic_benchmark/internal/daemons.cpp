#include "bench/traffic_benchmark/internal/daemons.hpp"

#include <algorithm>
#include <unordered_map>

namespace basilstream::bench::internal {
auto make_runners(const scenario& settings, event_loop& loop, bool queueing)
    -> runners {
    auto made = runners{};
    for (auto each = 0; each < settings.runners_; ++each) {
        made.push_back(
            std::make_unique<fake_runner>(loop, settings.slots_, queueing));
    }
    return made;
}

auto crash_runner(fake_runner& runner, duration down) -> int {
    const auto attempts = runner.running() + runner.waiting();
    runner.crash(down);
    return attempts;
}

auto count_runs(const runners& all) -> std::uint64_t {
    auto sum = std::uint64_t{0};
    for (const auto& each : all) {
        sum += each->starts();
    }
    return sum;
}

auto share_of_hits(const runners& all) -> double {
    auto hits = std::uint64_t{0};
    for (const auto& each : all) {
        hits += each->cache_hits();
    }
    return static_cast<double>(hits) /
           static_cast<double>(std::max(count_runs(all), std::uint64_t{1}));
}

namespace {

class blind_daemons final : public daemons {
public:
    blind_daemons(const scenario& settings, event_loop& loop)
        : settings_{settings}, loop_{loop}, runners_{make_runners(settings,
                                                                  loop, true)} {
    }

    auto submit(caller_try request) -> void override {
        const auto turn = static_cast<int>(next_++ % settings_.replicas_);
        const auto runner = replica_of(settings_, request.model_, turn);
        runner_of_[request.id_] = runner;
        const auto broken = request.on_broken_;
        const auto outcome = runners_[runner]->start(
            {request.id_, request.prefix_, request.tokens_,
             std::move(request.on_first_token_),
             std::move(request.on_finished_), [broken](int) {
                 broken();
             }});
        if (outcome == start_outcome::down) {
            loop_.after(network_delay, broken);
        }
    }
    auto crash(int runner, duration down) -> int override {
        return crash_runner(*runners_[runner], down);
    }
    auto abandon(std::uint64_t id) -> void override {
        const auto runner = runner_of_.extract(id).mapped();
        if (settings_.policy_ == traffic_policy::blind_retries_with_cancel) {
            runners_[runner]->cancel(id);
        }
    }
    auto runs() const -> std::uint64_t override { return count_runs(runners_); }
    auto no_slot() const -> std::uint64_t override { return 0; }
    auto cached_share() const -> double override {
        return share_of_hits(runners_);
    }

private:
    scenario settings_;
    event_loop& loop_;
    runners runners_;
    std::unordered_map<std::uint64_t, int> runner_of_;
    std::uint64_t next_ = 0;
};

} // namespace

auto replica_of(const scenario& settings, int model, int rank) -> int {
    // Runner i is in zone i % 3; neighbours are in distinct zones.
    return (model * settings.replicas_ + rank) % settings.runners_;
}

auto make_daemons(const scenario& settings, event_loop& loop)
    -> std::unique_ptr<daemons> {
    if (settings.policy_ == traffic_policy::basilstream) {
        return make_basilstream_daemons(settings, loop);
    }
    return std::make_unique<blind_daemons>(settings, loop);
}

} // namespace basilstream::bench::internal
