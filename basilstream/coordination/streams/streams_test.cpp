#include "basilstream/coordination/streams/streams.hpp"

#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "basilstream/base/invariant/invariant.hpp"
#include "basilstream/base/random/random.hpp"

namespace basilstream::coordination {
namespace {

TEST(chunk_id, parses_event_id_and_rejects_malformed_text) {
    const auto id = parse_chunk_id("4f/with/slash/2/17");
    ASSERT_TRUE(id);
    EXPECT_EQ(id->request_id_, "4f/with/slash");
    EXPECT_EQ(id->attempt_, 2U);
    EXPECT_EQ(id->position_, 17U);
    for (const auto* text : {"", "r", "r/1", "/1/2", "r//2", "r/1/", "r/x/2",
                             "r/1/-2", "r/1/99999999999999999999"}) {
        EXPECT_FALSE(parse_chunk_id(text)) << text;
    }
}

TEST(stream_checker, reports_verdict_for_each_fault) {
    auto checker = stream_checker{{}, "r"};
    ASSERT_TRUE(checker.start_attempt(1));
    EXPECT_EQ(checker.on_chunk({"r", 1, 0}, 5), chunk_verdict::deliver);
    EXPECT_EQ(checker.on_chunk({"r", 1, 0}, 5), chunk_verdict::duplicate);
    EXPECT_EQ(checker.on_chunk({"r", 1, 2}, 5), chunk_verdict::gap);
    EXPECT_EQ(checker.take_action(), stream_action::retry_elsewhere);
    EXPECT_EQ(checker.on_chunk({"r", 1, 1}, 5), chunk_verdict::stale);
    EXPECT_EQ(checker.next_position(), 1U);
    ASSERT_TRUE(checker.start_attempt(2));
    EXPECT_EQ(checker.on_chunk({"r", 1, 1}, 5), chunk_verdict::stale);
    EXPECT_EQ(checker.on_chunk({"other", 2, 1}, 5),
              chunk_verdict::wrong_request);
    EXPECT_EQ(checker.take_action(), stream_action::retry_elsewhere);
    ASSERT_TRUE(checker.start_attempt(3));
    checker.on_attempt_end(3);
    EXPECT_EQ(checker.take_outcome(), stream_outcome::failed);
    EXPECT_EQ(checker.take_outcome(), std::nullopt);
    EXPECT_EQ(checker.failure().code_, error_code::incomplete_answer);
    EXPECT_FALSE(checker.start_attempt(4));
}

TEST(stream_checker, pauses_reading_and_aborts_attempt_over_hard_limit) {
    auto checker = stream_checker{{100, 50, 200, 2}, "r"};
    ASSERT_TRUE(checker.start_attempt(1));
    EXPECT_EQ(checker.on_chunk({"r", 1, 0}, 101), chunk_verdict::deliver);
    EXPECT_EQ(checker.take_signal(), read_signal::pause);
    EXPECT_EQ(checker.take_signal(), read_signal::unchanged);
    checker.on_bytes_sent(60);
    EXPECT_EQ(checker.take_signal(), read_signal::resume);
    EXPECT_EQ(checker.on_chunk({"r", 1, 1}, 160), chunk_verdict::overflow);
    EXPECT_EQ(checker.buffered_bytes(), 41U);
    EXPECT_EQ(checker.take_action(), stream_action::retry_elsewhere);
}

TEST(stream_checker, cancels_attempt_when_caller_disconnects) {
    auto checker = stream_checker{{}, "r"};
    ASSERT_TRUE(checker.start_attempt(1));
    checker.on_caller_left();
    EXPECT_EQ(checker.take_action(), stream_action::cancel);
    EXPECT_EQ(checker.take_outcome(), stream_outcome::caller_left);
    EXPECT_EQ(checker.on_chunk({"r", 1, 0}, 1), chunk_verdict::stale);
    EXPECT_EQ(checker.on_finish({"r", 1, 0}), chunk_verdict::stale);
}

/// Runs one answer over faulty attempts: chunks are delayed past their
/// successors or into the next attempt, duplicated, or preceded by a chunk of
/// another request, and attempts end early.
class faulty_answer {
public:
    faulty_answer(seeded_random& random, stream_guards guards)
        : random_{&random}, length_{1 + random.below(30)}, checker_{{64, 16,
                                                                     4096, 4},
                                                                    "r",
                                                                    guards} {}

    /// Returns a description of the fault in the delivered answer, or an empty
    /// string.
    auto run() -> std::string {
        for (auto attempt = 1U; checker_.start_attempt(attempt); ++attempt) {
            run_attempt(attempt);
            checker_.on_attempt_end(attempt);
            record_outcome();
        }
        checker_.fail({});
        record_outcome();
        return describe_fault();
    }

private:
    auto run_attempt(std::uint32_t attempt) -> void {
        for (auto position = checker_.next_position(); position < length_;
             ++position) {
            const auto fault = random_->below(60);
            if (!delayed_.empty() && random_->below(3) == 0) {
                deliver_chunk(delayed_.back());
                delayed_.pop_back();
            }
            if (fault == 0) {
                return;
            }
            if (fault == 1) {
                delayed_.push_back({"r", attempt, position});
                continue;
            }
            if (fault == 2) {
                deliver_chunk({"other", attempt, position});
            }
            if (fault == 3) {
                deliver_chunk({"r", attempt, position});
            }
            deliver_chunk({"r", attempt, position});
            if (checker_.take_action() == stream_action::retry_elsewhere) {
                return;
            }
        }
        static_cast<void>(checker_.on_finish({"r", attempt, length_}));
    }
    auto deliver_chunk(const chunk_id& id) -> void {
        if (checker_.on_chunk(id, 1) == chunk_verdict::deliver) {
            const auto is_own_request = id.request_id_ == "r";
            received_.push_back(is_own_request ? id.position_
                                               : id.position_ + 1000);
        }
    }
    auto record_outcome() -> void {
        if (const auto end = checker_.take_outcome()) {
            ++outcomes_;
            is_complete_ = end == stream_outcome::complete;
        }
    }
    [[nodiscard]] auto describe_fault() const -> std::string {
        for (auto index = std::size_t{0}; index < received_.size(); ++index) {
            if (received_[index] != index) {
                return "wrong chunk";
            }
        }
        if (outcomes_ != 1) {
            return "not exactly one outcome";
        }
        return is_complete_ && received_.size() != length_ ? "truncated" : "";
    }

    seeded_random* random_;
    std::uint64_t length_;
    stream_checker checker_;
    std::vector<std::uint64_t> received_;
    std::vector<chunk_id> delayed_;
    int outcomes_ = 0;
    bool is_complete_ = false;
};

// Returns the number of the first run that delivers a faulty answer, or 0.
auto find_failing_run(stream_guards guards, std::uint64_t runs)
    -> std::uint64_t {
    auto random = seeded_random{11};
    for (auto run = std::uint64_t{1}; run <= runs; ++run) {
        if (!faulty_answer{random, guards}.run().empty()) {
            return run;
        }
    }
    return 0;
}

TEST(stream_checker, delivers_complete_answer_once_or_one_error) {
    const auto violations = invariant_violations();
    EXPECT_EQ(find_failing_run({}, 100'000), 0U);
    EXPECT_EQ(invariant_violations(), violations);
}

TEST(stream_checker, detects_each_disabled_check) {
    EXPECT_NE(find_failing_run({false, true, true, true}, 100'000), 0U);
    EXPECT_NE(find_failing_run({true, true, false, true}, 100'000), 0U);
    EXPECT_NE(find_failing_run({true, true, true, false}, 100'000), 0U);
}

// Positions alone cannot identify events of an earlier attempt whose connection
// reports its end late or whose finish event has the same position.
TEST(stream_checker, attempt_number_identifies_stale_finish) {
    for (const auto check : {true, false}) {
        auto checker = stream_checker{{}, "r", {true, check, true, true}};
        ASSERT_TRUE(checker.start_attempt(1));
        ASSERT_TRUE(checker.start_attempt(2));
        const auto verdict = checker.on_finish({"r", 1, 0});
        EXPECT_EQ(verdict == chunk_verdict::stale, check);
    }
}

} // namespace
} // namespace basilstream::coordination
