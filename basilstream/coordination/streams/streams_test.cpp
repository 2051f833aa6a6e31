#include "basilstream/coordination/streams/streams.hpp"

#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "basilstream/base/invariant/invariant.hpp"
#include "basilstream/base/random/random.hpp"

namespace basilstream::coordination {
namespace {

TEST(piece_id, is_parsed_from_an_event_id) {
    const auto id = parse_piece_id("4f/with/slash/2/17");
    ASSERT_TRUE(id);
    EXPECT_EQ(id->request_id_, "4f/with/slash");
    EXPECT_EQ(id->attempt_, 2U);
    EXPECT_EQ(id->position_, 17U);
    for (const auto* text : {"", "r", "r/1", "/1/2", "r//2", "r/1/", "r/x/2",
                             "r/1/-2", "r/1/99999999999999999999"}) {
        EXPECT_FALSE(parse_piece_id(text)) << text;
    }
}

TEST(stream_checker, names_each_fault) {
    auto checker = stream_checker{{}, "r"};
    ASSERT_TRUE(checker.start_attempt(1));
    EXPECT_EQ(checker.on_piece({"r", 1, 0}, 5), piece_verdict::deliver);
    EXPECT_EQ(checker.on_piece({"r", 1, 0}, 5), piece_verdict::doubled);
    EXPECT_EQ(checker.on_piece({"r", 1, 2}, 5), piece_verdict::missing);
    EXPECT_EQ(checker.take_action(), stream_action::retry_elsewhere);
    EXPECT_EQ(checker.on_piece({"r", 1, 1}, 5), piece_verdict::late);
    EXPECT_EQ(checker.next_position(), 1U);
    ASSERT_TRUE(checker.start_attempt(2));
    EXPECT_EQ(checker.on_piece({"r", 1, 1}, 5), piece_verdict::late);
    EXPECT_EQ(checker.on_piece({"other", 2, 1}, 5), piece_verdict::crossed);
    EXPECT_EQ(checker.take_action(), stream_action::retry_elsewhere);
    ASSERT_TRUE(checker.start_attempt(3));
    checker.on_attempt_end(3);
    EXPECT_EQ(checker.take_end(), stream_end::failed);
    EXPECT_EQ(checker.take_end(), std::nullopt);
    EXPECT_EQ(checker.failure().code_, error_code::incomplete_answer);
    EXPECT_FALSE(checker.start_attempt(4));
}

TEST(stream_checker, holds_a_runner_back_and_cuts_one_that_does_not_stop) {
    auto checker = stream_checker{{100, 50, 200, 2}, "r"};
    ASSERT_TRUE(checker.start_attempt(1));
    EXPECT_EQ(checker.on_piece({"r", 1, 0}, 101), piece_verdict::deliver);
    EXPECT_EQ(checker.take_signal(), read_signal::pause);
    EXPECT_EQ(checker.take_signal(), read_signal::keep);
    checker.on_drained(60);
    EXPECT_EQ(checker.take_signal(), read_signal::resume);
    EXPECT_EQ(checker.on_piece({"r", 1, 1}, 160), piece_verdict::overflow);
    EXPECT_EQ(checker.buffered_bytes(), 41U);
    EXPECT_EQ(checker.take_action(), stream_action::retry_elsewhere);
}

TEST(stream_checker, cancels_at_the_runner_when_the_caller_leaves) {
    auto checker = stream_checker{{}, "r"};
    ASSERT_TRUE(checker.start_attempt(1));
    checker.on_caller_left();
    EXPECT_EQ(checker.take_action(), stream_action::cancel);
    EXPECT_EQ(checker.take_end(), stream_end::caller_left);
    EXPECT_EQ(checker.on_piece({"r", 1, 0}, 1), piece_verdict::late);
    EXPECT_EQ(checker.on_finish({"r", 1, 0}), piece_verdict::late);
}

/// One answer through faulty attempts: pieces are delayed past their successors
/// or the next attempt, doubled and crossed, and attempts end early.
class faulty_answer {
public:
    faulty_answer(seeded_random& random, stream_guards guards)
        : random_{&random}, length_{1 + random.below(30)}, checker_{{64, 16,
                                                                     4096, 4},
                                                                    "r",
                                                                    guards} {}

    /// Returns what is wrong with what the caller received; empty for nothing.
    auto run() -> std::string {
        for (auto attempt = 1U; checker_.start_attempt(attempt); ++attempt) {
            run_attempt(attempt);
            checker_.on_attempt_end(attempt);
            note_end();
        }
        checker_.fail({});
        note_end();
        return verdict();
    }

private:
    auto run_attempt(std::uint32_t attempt) -> void {
        for (auto position = checker_.next_position(); position < length_;
             ++position) {
            const auto fault = random_->below(60);
            if (!delayed_.empty() && random_->below(3) == 0) {
                offer(delayed_.back());
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
                offer({"other", attempt, position});
            }
            if (fault == 3) {
                offer({"r", attempt, position});
            }
            offer({"r", attempt, position});
            if (checker_.take_action() == stream_action::retry_elsewhere) {
                return;
            }
        }
        static_cast<void>(checker_.on_finish({"r", attempt, length_}));
    }
    auto offer(const piece_id& id) -> void {
        if (checker_.on_piece(id, 1) == piece_verdict::deliver) {
            const auto own = id.request_id_ == "r";
            received_.push_back(own ? id.position_ : id.position_ + 1000);
        }
    }
    auto note_end() -> void {
        if (const auto end = checker_.take_end()) {
            ++ends_;
            complete_ = end == stream_end::complete;
        }
    }
    [[nodiscard]] auto verdict() const -> std::string {
        for (auto place = std::size_t{0}; place < received_.size(); ++place) {
            if (received_[place] != place) {
                return "wrong piece";
            }
        }
        if (ends_ != 1) {
            return "not one outcome";
        }
        return complete_ && received_.size() != length_ ? "truncated" : "";
    }

    seeded_random* random_;
    std::uint64_t length_;
    stream_checker checker_;
    std::vector<std::uint64_t> received_;
    std::vector<piece_id> delayed_;
    int ends_ = 0;
    bool complete_ = false;
};

// Returns the number of the first run that goes wrong, or 0.
auto search(stream_guards guards, std::uint64_t runs) -> std::uint64_t {
    auto random = seeded_random{11};
    for (auto run = std::uint64_t{1}; run <= runs; ++run) {
        if (!faulty_answer{random, guards}.run().empty()) {
            return run;
        }
    }
    return 0;
}

TEST(stream_checker, gives_the_whole_answer_once_or_one_error) {
    const auto violations = invariant_violations();
    EXPECT_EQ(search({}, 100'000), 0U);
    EXPECT_EQ(invariant_violations(), violations);
}

TEST(stream_checker, needs_each_check) {
    EXPECT_NE(search({false, true, true, true}, 100'000), 0U);
    EXPECT_NE(search({true, true, false, true}, 100'000), 0U);
    EXPECT_NE(search({true, true, true, false}, 100'000), 0U);
}

// The attempt number matters where positions alone cannot tell: an old
// attempt's connection that reports its end late, or a finish at the same
// position.
TEST(stream_checker, needs_the_attempt_number) {
    for (const auto check : {true, false}) {
        auto checker = stream_checker{{}, "r", {true, check, true, true}};
        ASSERT_TRUE(checker.start_attempt(1));
        ASSERT_TRUE(checker.start_attempt(2));
        const auto verdict = checker.on_finish({"r", 1, 0});
        EXPECT_EQ(verdict == piece_verdict::late, check);
    }
}

} // namespace
} // namespace basilstream::coordination
