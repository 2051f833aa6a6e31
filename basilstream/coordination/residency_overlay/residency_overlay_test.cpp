#include "basilstream/coordination/residency_overlay/residency_overlay.hpp"

#include <gtest/gtest.h>

namespace basilstream::coordination {
namespace {

const auto start = time_point{seconds{100}};

auto server() -> backend_server {
    auto server = backend_server{};
    server.id_ = "r1";
    server.models_ = {{"m1", 1, {"a1"}}, {"m2", 1, {}}};
    return server;
}

auto adapters_of(const backend_server& backend) -> std::vector<std::string> {
    return backend.models_.front().adapters_;
}

TEST(residency_overlay, applies_update_until_newer_announcement) {
    auto overlay = residency_overlay{};
    overlay.add({"r1", "m1", "a2", load_state::ready, {}}, start);
    const auto now = start + seconds{1};
    EXPECT_EQ(adapters_of(overlay.apply(server(), now, now)),
              (std::vector<std::string>{"a1", "a2"}));
    const auto later = start + seconds{3};
    EXPECT_EQ(adapters_of(overlay.apply(server(), later, later)),
              (std::vector<std::string>{"a1"}));
}

TEST(residency_overlay, removes_models_and_adapters_being_unloaded) {
    auto overlay = residency_overlay{};
    overlay.add({"r1", "m2", "", load_state::unloading, {}}, start);
    overlay.add({"r1", "m1", "a1", load_state::unloading, {}}, start);
    const auto applied = overlay.apply(server(), start, start);
    ASSERT_EQ(applied.models_.size(), 1U);
    EXPECT_TRUE(adapters_of(applied).empty());
}

TEST(residency_overlay, returns_time_until_model_is_ready) {
    auto overlay = residency_overlay{};
    overlay.add({"r1", "m3", "", load_state::loading, seconds{2}}, start);
    EXPECT_EQ(overlay.ready_in("m3", "", start + milliseconds{500}),
              milliseconds{1500});
    EXPECT_FALSE(overlay.ready_in("m4", "", start).has_value());
    EXPECT_EQ(overlay.apply(server(), start, start).models_.size(), 2U);
}

TEST(residency_overlay, discards_updates_of_removed_runner) {
    auto overlay = residency_overlay{};
    overlay.add({"r1", "m1", "a2", load_state::ready, {}}, start);
    overlay.remove_runner("r1");
    EXPECT_EQ(adapters_of(overlay.apply(server(), start, start)),
              (std::vector<std::string>{"a1"}));
}

// A request for an adapter waited at a runner that was loading a model, and was
// refused with a time that did not hold.
TEST(residency_overlay, runner_that_loads_a_model_takes_no_adapter) {
    const auto now = time_point{seconds{100}};
    auto overlay = residency_overlay{};
    EXPECT_EQ(overlay.loading_for("r1", now), duration{0});
    overlay.add({"r1", "m1", "", load_state::loading, seconds{5}}, now);
    overlay.add({"r1", "m1", "a1", load_state::loading, seconds{9}}, now);
    EXPECT_EQ(overlay.loading_for("r1", now + seconds{2}), seconds{3});
    EXPECT_EQ(overlay.loading_for("r1", now + seconds{6}), duration{0});
    EXPECT_EQ(overlay.loading_for("r2", now), duration{0});
    overlay.add({"r1", "m1", "", load_state::ready, {}}, now + seconds{1});
    EXPECT_EQ(overlay.loading_for("r1", now + seconds{2}), duration{0});
}

} // namespace
} // namespace basilstream::coordination
