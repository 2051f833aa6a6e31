#include "basilstream/daemon/request_journal/request_journal.hpp"

#include <gtest/gtest.h>

namespace basilstream::daemon {
namespace {

auto record(const std::string& id, request_outcome outcome, int second)
    -> request_record {
    auto entry = request_record{};
    entry.request_id_ = id;
    entry.outcome_ = outcome;
    entry.ended_at_ = time_point{seconds{second}};
    return entry;
}

TEST(request_journal, returns_all_records_of_an_id_oldest_first) {
    auto journal = request_journal{};
    journal.add(record("a", request_outcome::refused, 1));
    journal.add(record("b", request_outcome::answered, 2));
    journal.add(record("a", request_outcome::answered, 3));
    const auto found = journal.find("a");
    ASSERT_EQ(found.size(), 2U);
    EXPECT_EQ(found[0].outcome_, request_outcome::refused);
    EXPECT_EQ(found[1].outcome_, request_outcome::answered);
    EXPECT_TRUE(journal.find("c").empty());
}

// Guards against the loss of a failure's record in a burst of answered
// requests.
TEST(request_journal, answered_requests_do_not_evict_failures) {
    auto journal = request_journal{8};
    journal.add(record("lost", request_outcome::failed, 1));
    for (auto index = 0; index < 100; ++index) {
        journal.add(
            record(std::to_string(index), request_outcome::answered, index));
    }
    EXPECT_EQ(journal.size(), 9U);
    EXPECT_EQ(journal.find("lost").size(), 1U);
    EXPECT_TRUE(journal.find("91").empty());
    EXPECT_EQ(journal.find("92").size(), 1U);
}

TEST(request_journal, describes_the_cause_of_a_refusal) {
    auto entry = record("x", request_outcome::refused, 1);
    entry.code_ = error_code::not_ready;
    entry.step_ = step::routing;
    entry.detail_ = "the model is not in place yet";
    const auto lines = describe(entry, time_point{seconds{4}});
    EXPECT_EQ(lines[0], "request x refused 3 s ago after 0 ms");
    EXPECT_EQ(lines.back(),
              "cause not_ready at step routing: the model is not in place yet; "
              "run not_run; further attempt not_asked");
}

} // namespace
} // namespace basilstream::daemon
