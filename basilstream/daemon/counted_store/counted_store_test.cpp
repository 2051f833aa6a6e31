#include "basilstream/daemon/counted_store/counted_store.hpp"

#include <gtest/gtest.h>

namespace basilstream::daemon {
namespace {

using coordination::append_outcome;
using coordination::record_page;
using coordination::shared_topic;

// Record store whose reads succeed and whose appends fail.
class append_failing_store final : public coordination::record_store {
public:
    auto read_newest(shared_topic /*topic*/, handler<record_page> done)
        -> void override {
        done(record_page{{}, 7, false});
    }
    auto read_from(shared_topic /*topic*/, std::uint64_t offset,
                   milliseconds /*wait*/, handler<record_page> done)
        -> void override {
        done(record_page{{}, offset, false});
    }
    auto append(shared_topic /*topic*/, std::optional<std::uint64_t> /*at*/,
                coordination::store_record /*record*/,
                handler<append_outcome> done) -> void override {
        done(tl::unexpected(error{error_code::timeout, step::log}));
    }
};

TEST(counted_store, forwards_outcomes_and_counts_them) {
    auto metrics = transport::metrics_registry{};
    auto store =
        counted_store{std::make_unique<append_failing_store>(), metrics};
    auto ends = std::vector<std::uint64_t>{};
    const auto collect_end = [&](const result<record_page>& page) {
        ends.push_back(page->end_);
    };
    store.read_newest(shared_topic::daemons, collect_end);
    store.read_from(shared_topic::daemons, 9, milliseconds{0}, collect_end);
    auto failed = false;
    store.append(
        shared_topic::placement_lease, std::nullopt, {},
        [&](const result<append_outcome>& outcome) { failed = !outcome; });
    EXPECT_EQ(ends, (std::vector<std::uint64_t>{7, 9}));
    EXPECT_TRUE(failed);
    const auto text = metrics.prometheus_text();
    const auto name = std::string{"basilstream_store_calls_total"};
    EXPECT_NE(text.find(name + "{topic=\"daemons\",outcome=\"done\"} 2"),
              std::string::npos);
    EXPECT_NE(
        text.find(name + "{topic=\"placement_lease\",outcome=\"failed\"} 1"),
        std::string::npos);
}

} // namespace
} // namespace basilstream::daemon
