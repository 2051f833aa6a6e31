#include "basilstream/coordination/stream_origins/stream_origins.hpp"

#include <gtest/gtest.h>

namespace basilstream::coordination {
namespace {

constexpr auto start = time_point{seconds{100}};

TEST(stream_origins, streams_are_known_until_they_can_no_longer_be_resumed) {
    auto origins = stream_origins{};
    origins.record("q1", "v1", start);
    EXPECT_EQ(origins.find("q1", start + stream_memory), "v1");
    EXPECT_EQ(origins.find("q2", start), std::nullopt);
    EXPECT_EQ(origins.find("q1", start + stream_memory + seconds{1}),
              std::nullopt);
    EXPECT_EQ(origins.size(), 0U);
}

TEST(stream_origins, stream_that_is_resumed_is_kept) {
    auto origins = stream_origins{};
    origins.record("q1", "v1", start);
    origins.record("q1", "v1", start + seconds{50});
    EXPECT_EQ(origins.find("q1", start + seconds{100}), "v1");
}

TEST(stream_origins, oldest_streams_are_forgotten_beyond_the_capacity) {
    auto origins = stream_origins{2};
    for (const auto* const id : {"q1", "q2", "q3", "q4"}) {
        origins.record(id, "v1", start);
    }
    EXPECT_LE(origins.size(), 3U);
    EXPECT_EQ(origins.find("q1", start), std::nullopt);
    EXPECT_EQ(origins.find("q4", start), "v1");
}

TEST(version_history, sole_version_holds_only_if_it_did_all_along) {
    auto versions = version_history{};
    versions.set_server("i1", "chat", "v1", start);
    EXPECT_EQ(versions.sole_version("chat", start + seconds{30}), std::nullopt);
    EXPECT_EQ(versions.sole_version_seen("chat", start), "v1");
    EXPECT_EQ(versions.sole_version_seen("other", start), std::nullopt);
    auto now = start + stream_memory;
    EXPECT_EQ(versions.sole_version("chat", now), "v1");
    EXPECT_EQ(versions.sole_version("other", now), std::nullopt);
    versions.set_server("i2", "chat", "v2", now);
    EXPECT_EQ(versions.sole_version("chat", now), std::nullopt);
    EXPECT_EQ(versions.sole_version_seen("chat", now), std::nullopt);
    // Streams that began at v1 may still be resumed after its last server left.
    versions.remove_server("i1", now);
    EXPECT_EQ(versions.sole_version("chat", now + stream_memory), std::nullopt);
    EXPECT_EQ(versions.sole_version("chat", now + stream_memory + seconds{1}),
              "v2");
}

TEST(version_history, server_that_changes_its_version_counts_for_both) {
    auto versions = version_history{};
    versions.set_server("i1", "chat", "v1", start);
    const auto now = start + stream_memory;
    versions.set_server("i1", "chat", "v2", now);
    EXPECT_EQ(versions.sole_version("chat", now + seconds{59}), std::nullopt);
    EXPECT_EQ(versions.sole_version("chat", now + seconds{61}), "v2");
}

TEST(version_history, unknown_version_is_no_sole_version) {
    auto versions = version_history{};
    versions.set_server("i1", "chat", "", start);
    EXPECT_EQ(versions.sole_version("chat", start + stream_memory),
              std::nullopt);
}

} // namespace
} // namespace basilstream::coordination
