#include <deque>

#include "basilstream/base/random/random.hpp"
#include "basilstream/coordination/admission/admission.hpp"
#include "basilstream/coordination/discovery/discovery.hpp"
#include "basilstream/coordination/routing/routing.hpp"
#include "bench/capacity/capacity.hpp"

namespace basilstream::bench {
namespace {

using namespace coordination;

constexpr auto slots = 64;
constexpr auto replicas_per_runner = 4;

auto model_name(std::size_t index) -> std::string {
    return "organisation/" + std::to_string(index);
}

// Each runner holds four models; there is a model for every four runners, so
// that a model has sixteen replicas at each size.
auto fill(router& routes, std::size_t runners) -> std::size_t {
    const auto models = std::max<std::size_t>(runners / 4, 4);
    for (auto index = std::size_t{0}; index < runners; ++index) {
        auto info = runner_info{};
        info.name_ = "runner-" + std::to_string(index);
        info.address_ = "127.0.0.1:" + std::to_string(index);
        info.zone_ = "zone-" + std::to_string(index % 19);
        info.slots_ = slots;
        for (auto held = std::size_t{0}; held < replicas_per_runner; ++held) {
            info.residents_.push_back(
                {model_name((index * replicas_per_runner + held) % models),
                 "v1",
                 {},
                 true});
        }
        routes.update_runner(info);
    }
    return models;
}

} // namespace

auto measure_router() -> cost_curve {
    auto curve = cost_curve{"router", "choose, begin, end", "runners", {}};
    for (const auto runners : {100, 400, 900, 1700}) {
        auto random = seeded_random{1};
        const auto before = heap_bytes();
        auto routes = router{{.zone_ = "zone-0"}, random};
        const auto models = fill(routes, static_cast<std::size_t>(runners));
        const auto bytes = heap_bytes() - before;
        const auto now = time_point{seconds{1}};
        const auto spent = seconds_of(50'000, [&] {
            const auto model = model_name(random.below(models));
            const auto chosen = routes.choose(
                {.model_ = model, .prefix_hash_ = random.below(1000) + 1}, now);
            if (chosen) {
                routes.start_attempt(chosen->runner_);
                routes.finish_attempt(chosen->runner_);
            }
        });
        curve.points_.push_back({static_cast<double>(runners), spent, bytes});
    }
    return curve;
}

auto measure_admission() -> cost_curve {
    auto curve = cost_curve{
        "admission", "submit, release, poll", "requests in flight", {}};
    constexpr auto runners = std::size_t{200};
    for (const auto in_flight : {100, 1000, 4000}) {
        auto random = seeded_random{1};
        auto routes = router{{.zone_ = "zone-0"}, random};
        const auto models = fill(routes, runners);
        auto gate = admission{{.initial_share_ = 1}, routes, random};
        for (auto index = std::size_t{0}; index < runners; ++index) {
            gate.set_runner("runner-" + std::to_string(index), slots);
        }
        auto now = time_point{seconds{1}};
        auto next = std::size_t{0};
        auto running = std::deque<std::string>{};
        const auto submit = [&] {
            const auto id = std::to_string(next++);
            const auto answer =
                gate.submit({.request_id_ = id,
                             .organisation_ = "organisation",
                             .model_ = model_name(random.below(models)),
                             .prefix_hash_ = random.below(1000) + 1},
                            now);
            if (answer.outcome_ == admission_outcome::admitted) {
                running.push_back(id);
            }
        };
        const auto before = heap_bytes();
        for (auto index = 0; index < in_flight; ++index) {
            submit();
        }
        const auto bytes = heap_bytes() - before;
        const auto spent = seconds_of(20'000, [&] {
            now += milliseconds{1};
            gate.on_release({.request_id_ = running.front(),
                             .first_token_ = milliseconds{100},
                             .token_interval_ = milliseconds{30},
                             .tokens_ = 228},
                            now);
            running.pop_front();
            for (const auto& event : gate.poll(now)) {
                if (event.outcome_ == admission_outcome::admitted) {
                    running.push_back(event.request_id_);
                }
            }
            submit();
        });
        curve.points_.push_back({static_cast<double>(in_flight), spent, bytes});
    }
    return curve;
}

auto measure_discovery() -> cost_curve {
    auto curve = cost_curve{"discovery", "answer", "daemons", {}};
    for (const auto daemons : {36, 120, 360}) {
        auto random = seeded_random{1};
        const auto before = heap_bytes();
        auto directory = endpoint_directory{{}, random};
        auto endpoints = std::vector<endpoint>{};
        for (auto index = 0; index < daemons; ++index) {
            endpoints.push_back({"daemon-" + std::to_string(index),
                                 "10.0.0.1:" + std::to_string(index),
                                 "zone-" + std::to_string(index % 19), true,
                                 static_cast<std::uint32_t>(index % 7)});
        }
        directory.update(std::move(endpoints));
        const auto bytes = heap_bytes() - before;
        const auto spent =
            seconds_of(5'000, [&] { (void)directory.answer("zone-3"); });
        curve.points_.push_back({static_cast<double>(daemons), spent, bytes});
    }
    return curve;
}

} // namespace basilstream::bench
