#include "testing/engine/engine.hpp"

#include <gtest/gtest.h>

namespace basilstream::testing {
namespace {

struct engine_test : ::testing::Test {
    auto make(engine_settings settings = {}) -> engine {
        return engine{std::move(settings), time_, random_};
    }

    static auto load(engine& model, const std::string& id,
                     std::uint64_t fencing = 1, std::uint64_t bytes = 10)
        -> order_answer {
        const auto answer = model.order({.order_id_ = id,
                                         .fencing_ = fencing,
                                         .model_ = "o/m" + id,
                                         .version_ = "v1",
                                         .bytes_ = bytes});
        model.load_ended(id, true);
        return answer;
    }

    auto run(engine& model) -> std::vector<generation_event> {
        auto all = model.advance();
        while (const auto due = model.next_due()) {
            time_.advance(*due - time_.now());
            for (auto& event : model.advance()) {
                all.push_back(std::move(event));
            }
        }
        return all;
    }

    manual_clock time_;
    seeded_random random_{1};
};

auto request(const std::string& id) -> completion_request {
    return {.model_ = "o/ma",
            .version_ = "v1",
            .prompt_ = "Dear all " + id,
            .max_tokens_ = 20,
            .request_id_ = id};
}

TEST_F(engine_test, generates_the_tokens_and_resumes_at_a_position) {
    auto model = make();
    EXPECT_EQ(model.submit(request("1")).outcome_,
              submit_outcome::not_resident);
    load(model, "a");
    model.submit(request("1"));
    const auto whole = run(model);
    const auto text = token_stream{{"o/ma", "", "v1", "Dear all 1"}};
    const auto count = text.count(20);
    ASSERT_EQ(whole.size(), count + 1);
    for (auto position = std::uint64_t{0}; position < count; ++position) {
        EXPECT_EQ(whole[position].position_, position);
        EXPECT_EQ(whole[position].text_, text.at(position));
    }
    EXPECT_EQ(finish_reason_names.name_of(*whole[count].finish_),
              text.finish(20));

    auto again = request("1");
    again.resume_position_ = 7;
    model.submit(again);
    const auto rest = run(model);
    ASSERT_EQ(rest.size(), count - 7 + 1);
    EXPECT_EQ(rest[0].text_, text.at(7));
    EXPECT_EQ(model.books().generations_[1].tokens_, count - 7);
}

TEST_F(engine_test, slots_priorities_and_cancel) {
    auto model = make({.slots_ = 1, .queue_ = 2});
    load(model, "a");
    auto urgent = request("urgent");
    urgent.priority_ = 5;
    model.submit(request("first"));
    model.submit(request("second"));
    model.submit(urgent);
    EXPECT_EQ(model.submit(request("fourth")).outcome_,
              submit_outcome::no_slot);
    EXPECT_TRUE(model.cancel("second", 0));
    EXPECT_FALSE(model.cancel("second", 0));
    auto ends = std::vector<std::uint64_t>{};
    for (const auto& event : run(model)) {
        if (event.finish_) {
            ends.push_back(event.sequence_);
        }
    }
    EXPECT_EQ(ends, (std::vector<std::uint64_t>{2, 1, 3}));
    EXPECT_FALSE(model.books().generations_[1].started_);
}

TEST_F(engine_test, memory_and_fencing_are_checked) {
    auto model = make({.memory_bytes_ = 25});
    EXPECT_EQ(load(model, "a", 5), order_answer::accepted);
    EXPECT_EQ(load(model, "b", 4), order_answer::stale_fencing);
    EXPECT_EQ(load(model, "c", 5), order_answer::accepted);
    EXPECT_EQ(load(model, "d", 5), order_answer::insufficient_memory);
    EXPECT_EQ(load(model, "a", 1), order_answer::accepted) << "known order";
    EXPECT_EQ(model.books().peak_used_bytes_, 20U);
    EXPECT_EQ(model.report().highest_fencing_, 5U);

    auto lax = make({.checks_fencing_ = false});
    load(lax, "a", 5);
    EXPECT_EQ(load(lax, "b", 4), order_answer::accepted);
}

TEST_F(engine_test, unload_waits_for_running_sequences) {
    auto model = make();
    load(model, "a");
    model.submit(request("1"));
    model.order({.order_id_ = "u",
                 .fencing_ = 1,
                 .action_ = order_action::unload_model,
                 .model_ = "o/ma",
                 .version_ = "v1"});
    EXPECT_EQ(model.submit(request("2")).outcome_,
              submit_outcome::not_resident);
    EXPECT_EQ(model.report().used_bytes_, 10U);
    run(model);
    EXPECT_EQ(model.report().used_bytes_, 0U);
    EXPECT_EQ(model.report().finished_orders_.back().order_id_, "u");
    EXPECT_TRUE(model.books().generations_[0].finish_.has_value());
}

TEST_F(engine_test, reports_lag) {
    auto model = make({.report_lag_ = seconds{1}});
    model.report();
    time_.advance(milliseconds{500});
    load(model, "a");
    EXPECT_TRUE(model.report().residents_.empty());
    time_.advance(milliseconds{1100});
    EXPECT_EQ(model.report().residents_.size(), 1U);
}

TEST_F(engine_test, cache_shortens_prefill_and_publishes_late_with_gaps) {
    auto model = make({.prefill_per_byte_ = milliseconds{1},
                       .cache_entries_ = 1,
                       .cache_event_lag_ = seconds{60}});
    load(model, "a");
    const auto first_token = [&](const std::string& id) {
        const auto begun = time_.now();
        model.submit(request(id));
        while (model.advance().empty()) {
            time_.advance(*model.next_due() - time_.now());
        }
        const auto taken = time_.now() - begun;
        run(model);
        return taken;
    };
    const auto cold = first_token("1");
    EXPECT_GT(cold, first_token("1"));
    EXPECT_TRUE(model.cache_events(0).events_.empty());
    first_token("2");
    EXPECT_EQ(model.export_kv("o/ma", prefix_hash("Dear all 1")), std::nullopt);
    time_.advance(seconds{60});
    const auto page = model.cache_events(1);
    ASSERT_EQ(page.events_.size(), 2U);
    EXPECT_EQ(page.next_, 3U);
    EXPECT_FALSE(page.events_[1].stored_);
}

} // namespace
} // namespace basilstream::testing
