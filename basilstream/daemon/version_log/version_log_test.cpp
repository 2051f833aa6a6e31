#include "basilstream/daemon/version_log/version_log.hpp"

#include <map>

#include <gtest/gtest.h>

namespace basilstream::daemon {
namespace {

using coordination::append_outcome;
using coordination::record_page;
using coordination::shared_topic;
using coordination::store_record;
using coordination::stream_memory;

class manual_clock final : public clock {
public:
    [[nodiscard]] auto now() const -> time_point override { return now_; }
    time_point now_{seconds{1000}};
};

// Keeps the newest record of each key, or fails while unavailable.
class keyed_store final : public coordination::record_store {
public:
    auto read_newest(shared_topic /*topic*/, handler<record_page> done)
        -> void override {
        ++calls_;
        if (!available_) {
            done(tl::unexpected(error{error_code::unavailable, step::log}));
            return;
        }
        auto page = record_page{};
        for (const auto& [key, value] : values_) {
            page.records_.push_back({key, value});
        }
        done(page);
    }
    auto read_from(shared_topic /*topic*/, std::uint64_t /*offset*/,
                   milliseconds /*wait*/, handler<record_page> /*done*/)
        -> void override {}
    auto append(shared_topic /*topic*/, std::optional<std::uint64_t> /*at*/,
                store_record record, handler<append_outcome> done)
        -> void override {
        ++calls_;
        if (!available_) {
            done(tl::unexpected(error{error_code::unavailable, step::log}));
            return;
        }
        if (record.value_) {
            values_[record.key_] = *record.value_;
        } else {
            values_.erase(record.key_);
        }
        done(append_outcome{true, 0});
    }
    bool available_ = true;
    int calls_ = 0;
    std::map<std::string, std::string> values_;
};

class version_log_test : public ::testing::Test {
protected:
    struct process {
        process(version_log_test& world, const std::string& name)
            : log_{{world.clock_, world.random_, world.logger_},
                   name,
                   history_,
                   world.store_} {}
        coordination::version_history history_;
        version_log log_;
    };

    auto run(process& daemon, duration time = milliseconds{100}) -> void {
        for (const auto end = clock_.now_ + time; clock_.now_ < end;
             clock_.now_ += milliseconds{50}) {
            daemon.log_.tick();
        }
    }
    auto sole(process& daemon) -> std::optional<std::string> {
        return daemon.history_.sole_version_seen("chat", clock_.now_);
    }

    manual_clock clock_;
    seeded_random random_{1};
    transport::logger logger_{{transport::log_level::off}, "test"};
    keyed_store store_;
};

// A daemon that started after the last server of a version had left took the
// next version for the only one.
TEST_F(version_log_test, version_that_left_before_the_start_is_forgotten) {
    auto first = process{*this, "d1"};
    first.log_.set_daemons({"d1"});
    first.history_.set_server("i1", "chat", "v1", clock_.now_);
    run(first);
    EXPECT_EQ(store_.values_.size(), 1U);
    EXPECT_EQ(sole(first), "v1");

    auto second = process{*this, "d1"};
    second.history_.set_server("i2", "chat", "v2", clock_.now_);
    // Before the records have been read, nothing is known.
    EXPECT_EQ(sole(second), std::nullopt);
    run(second);
    EXPECT_EQ(sole(second), std::nullopt);
    clock_.now_ += stream_memory + seconds{1};
    EXPECT_EQ(sole(second), "v2");
}

// Streams were refused for a minute after all daemons had started.
TEST_F(version_log_test, sole_version_is_unknown_for_a_minute_after_a_start) {
    store_.values_["chat\nv1"] = "d2";
    auto daemon = process{*this, "d1"};
    daemon.history_.set_server("i1", "chat", "v1", clock_.now_);
    run(daemon);
    EXPECT_EQ(daemon.history_.sole_version("chat", clock_.now_), "v1");
}

TEST_F(version_log_test, records_end_with_their_versions) {
    auto daemon = process{*this, "d1"};
    daemon.log_.set_daemons({"d1"});
    daemon.history_.set_server("i1", "chat", "v1", clock_.now_);
    daemon.history_.set_server("i2", "chat", "v2", clock_.now_);
    run(daemon, milliseconds{300});
    EXPECT_EQ(store_.values_.size(), 2U);
    daemon.history_.remove_server("i1", clock_.now_);
    run(daemon, stream_memory + seconds{1});
    EXPECT_EQ(store_.values_.size(), 1U);
    EXPECT_TRUE(store_.values_.contains("chat\nv2"));
    // Also if a daemon with an older view has removed the record.
    store_.values_.clear();
    run(daemon, seconds{61});
    EXPECT_TRUE(store_.values_.contains("chat\nv2"));
}

TEST_F(version_log_test, two_of_many_daemons_write) {
    auto names = std::vector<std::string>{};
    for (auto number = 0; number < 195; ++number) {
        names.push_back("d" + std::to_string(number));
    }
    for (const auto& name : names) {
        auto daemon = process{*this, name};
        daemon.log_.set_daemons(names);
        daemon.history_.set_server("i1", "chat", "v1", clock_.now_);
        store_.values_.clear();
        run(daemon);
    }
    EXPECT_EQ(store_.calls_, 195 + 2);
}

TEST_F(version_log_test, calls_are_repeated_after_an_outage) {
    store_.available_ = false;
    auto daemon = process{*this, "d1"};
    daemon.log_.set_daemons({"d1"});
    daemon.history_.set_server("i1", "chat", "v1", clock_.now_);
    run(daemon, seconds{3});
    EXPECT_EQ(sole(daemon), std::nullopt);
    EXPECT_LE(store_.calls_, 13);
    store_.available_ = true;
    run(daemon, seconds{2});
    EXPECT_EQ(sole(daemon), "v1");
    EXPECT_EQ(store_.values_.size(), 1U);
}

} // namespace
} // namespace basilstream::daemon
