#include "testing/state_sample/state_sample.hpp"

#include <algorithm>

namespace basilstream::testing {
namespace {

using state::order_action;
using state::resident_key;

constexpr auto target_runners = std::size_t{1700};
constexpr auto target_models = std::size_t{450};
constexpr auto target_shards = std::size_t{19};
constexpr auto adapters_per_model = std::size_t{3};
constexpr auto runner_bytes = std::uint64_t{80} << 30U;
constexpr auto model_bytes = std::uint64_t{30} << 30U;
constexpr auto adapter_bytes = std::uint64_t{200} << 20U;

auto share_of(std::size_t runners, std::size_t whole) -> std::size_t {
    return std::max<std::size_t>(1, whole * runners / target_runners);
}

auto runner_name(std::size_t index) -> std::string {
    return "runner-" + std::to_string(index);
}

auto model_name(std::size_t index) -> std::string {
    return "model-" + std::to_string(index);
}

auto adapter_name(std::size_t index) -> std::string {
    return "adapter-" + std::to_string(index);
}

} // namespace

state_sample::state_sample(std::size_t runners)
    : runners_{runners}, models_{share_of(runners, target_models)},
      shards_{share_of(runners, target_shards)} {
    declare();
    for (auto i = std::size_t{0}; i < runners_; ++i) {
        load(i);
    }
}

auto state_sample::add(state::record body) -> state::record_id {
    const auto id = state::make_record_id(random_);
    records_.push_back({id, records_.size(), std::move(body)});
    return id;
}

auto state_sample::declare() -> void {
    for (auto i = std::size_t{0}; i < shards_; ++i) {
        add(state::shard_claim{"zone-" + std::to_string(i), "daemon-0#1", 0});
    }
    add(state::resource_put{
        state::organisation_resource{"angebotswerk", {}, 1, 0.1, {}}, 0});
    for (auto i = std::size_t{0}; i < models_; ++i) {
        add(state::resource_put{
            state::model_resource{
                "angebotswerk", model_name(i), {"v1"}, 0, {}, model_bytes, 2},
            0});
        for (auto k = std::size_t{0}; k < adapters_per_model; ++k) {
            add(state::resource_put{
                state::adapter_resource{"angebotswerk", adapter_name(k),
                                        model_name(i), 0, adapter_bytes, 2},
                0});
        }
    }
}

auto state_sample::shard_of(std::size_t runner) const -> std::size_t {
    return runner % shards_;
}

auto state_sample::load(std::size_t runner) -> void {
    const auto shard = shard_of(runner);
    add(state::runner_boot{"zone-" + std::to_string(shard), shard + 1,
                           runner_name(runner), "127.0.0.1:8000",
                           "zone-" + std::to_string(shard), "boot-1", "",
                           runner_bytes});
    const auto model = "angebotswerk/" + model_name(runner % models_);
    load_one(runner, {model, "", "v1"}, order_action::load_model, model_bytes);
    for (auto k = std::size_t{0}; k < adapters_per_model; ++k) {
        load_one(runner, {model, adapter_name(k), "v1"},
                 order_action::load_adapter, adapter_bytes);
    }
}

auto state_sample::load_one(std::size_t runner, const resident_key& key,
                            order_action action, std::uint64_t bytes) -> void {
    const auto shard = "zone-" + std::to_string(shard_of(runner));
    const auto epoch = shard_of(runner) + 1;
    const auto order = add(state::order_intent{
        shard, epoch, runner_name(runner), "boot-1", action, key, bytes, {}});
    add(state::order_outcome{shard, epoch, order, {}, ""});
}

auto state_sample::replay() const -> state::machine {
    auto target = state::machine{state::machine_guards{}};
    for (const auto& entry : records_) {
        target.apply(target.next_offset(), entry);
    }
    return target;
}

auto state_sample::moves(std::size_t count) const
    -> std::vector<state::envelope> {
    auto more = state_sample{runners_};
    const auto before = more.records_.size();
    constexpr auto records_per_turn = std::size_t{4};
    for (auto i = std::size_t{0}; i < count / records_per_turn; ++i) {
        const auto runner = i % runners_;
        const auto key = resident_key{
            "angebotswerk/" + model_name((runner + 1) % models_), "", "v2"};
        more.load_one(runner, key, order_action::load_model, model_bytes);
        more.load_one(runner, key, order_action::unload_model, 0);
    }
    return {more.records_.begin() + static_cast<std::ptrdiff_t>(before),
            more.records_.end()};
}

} // namespace basilstream::testing
