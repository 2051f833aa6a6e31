#include "basilstream/daemon/stream_directory/stream_directory.hpp"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "basilstream/coordination/rendezvous/rendezvous.hpp"

namespace basilstream::daemon {
namespace {

constexpr auto service = "chat";
constexpr auto request = "9c41d07b";

// Six daemons that have known one version of a service for more than a minute.
// Messages arrive unless the sender or the receiver is cut off.
class stream_directories : public ::testing::Test {
protected:
    stream_directories() {
        for (const auto* name : {"d1", "d2", "d3", "d4", "d5", "d6"}) {
            start_daemon(name);
        }
        clock_.advance(seconds{70});
        const auto holders = coordination::select_by_weight(request, names_, 2);
        holders_ = {holders.begin(), holders.end()};
        for (const auto& name : names_) {
            if (!holders_.contains(name)) {
                (other_.empty() ? other_ : beginner_) = name;
            }
        }
    }

    // Starts a daemon that finds the servers of v1, or starts it anew.
    auto start_daemon(const std::string& name) -> void {
        if (!daemons_.contains(name)) {
            names_.push_back(name);
        }
        auto& made = daemons_[name];
        made = std::make_unique<stream_directory>(
            stream_directory_context{clock_, metrics_[name]}, name);
        made->connect([this, name](const std::string& to,
                                   const protocol::relay_update& update) {
            messages_.push_back({name, to, update});
            return true;
        });
        made->set_view_check([this, name] { return !behind_.contains(name); });
        made->set_server("i-1", service, "v1");
        for (const auto& [other, daemon] : daemons_) {
            daemon->set_daemons(names_);
        }
    }

    // A server of another version joins. Daemons that are behind do not see it,
    // nor do those to which its announcement has not come yet.
    auto add_version() -> void {
        for (const auto& [name, daemon] : daemons_) {
            if (!behind_.contains(name) && !late_.contains(name)) {
                daemon->set_server("i-2", service, "v2");
            }
        }
        clock_.advance(milliseconds{200});
    }
    auto begin_stream(const std::string& name, const std::string& version,
                      const std::string& id = request) -> void {
        daemons_[name]->on_stream_begun(id, version);
        deliver();
    }
    // Returns the version at which the daemon resumes the stream; "none" if it
    // does not.
    auto resume_at(const std::string& name, const std::string& id = request)
        -> std::string {
        auto result = std::optional<std::string>{};
        daemons_[name]->find_version(id, service, [&](const auto& version) {
            result = version.value_or("none");
        });
        deliver();
        if (!result) {
            clock_.advance(milliseconds{300});
            daemons_[name]->tick();
        }
        return result.value_or("no answer");
    }

    auto deliver() -> void {
        while (!messages_.empty()) {
            const auto next = messages_.front();
            messages_.pop_front();
            if (!cut_off_.contains(next.to_) &&
                !cut_off_.contains(next.from_)) {
                daemons_[next.to_]->on_update(next.from_, next.update_);
            }
        }
    }

    struct message {
        std::string from_;
        std::string to_;
        protocol::relay_update update_;
    };
    manual_clock clock_;
    std::deque<message> messages_;
    std::map<std::string, transport::metrics_registry> metrics_;
    std::vector<std::string> names_;
    std::map<std::string, std::unique_ptr<stream_directory>> daemons_;
    std::set<std::string> cut_off_;
    std::set<std::string> behind_;
    std::set<std::string> late_;
    std::set<std::string> holders_;
    // Two daemons that are not told of the stream by others.
    std::string other_;
    std::string beginner_;
};

TEST_F(stream_directories, one_version_needs_no_answer) {
    cut_off_ = {names_.begin(), names_.end()};
    EXPECT_EQ(resume_at(other_), "v1");
}

// A daemon that the store turned away took the only version that it had seen
// for the one at which the stream had begun.
TEST_F(stream_directories, old_view_joins_versions) {
    behind_ = {other_};
    add_version();
    begin_stream(beginner_, "v2");
    EXPECT_EQ(resume_at(other_), "v2");
}

TEST_F(stream_directories, old_views_of_both_holders_join_versions) {
    behind_ = {holders_.begin(), holders_.end()};
    add_version();
    cut_off_ = behind_;
    begin_stream(beginner_, "v2");
    cut_off_ = {beginner_};
    EXPECT_EQ(resume_at(other_), "none");
}

TEST_F(stream_directories, old_view_without_answers_resumes_nothing) {
    behind_ = {other_};
    add_version();
    begin_stream(beginner_, "v2");
    cut_off_ = {other_};
    EXPECT_EQ(resume_at(other_), "none");
}

TEST_F(stream_directories,
       old_views_that_agree_resume_while_the_store_is_away) {
    behind_ = {names_.begin(), names_.end()};
    EXPECT_EQ(resume_at(other_), "v1");
    cut_off_ = {*holders_.begin()};
    EXPECT_EQ(resume_at(other_), "none");
}

// A stream that began while the service had one version was recorded nowhere,
// and could not be resumed once a second version had been seen.
TEST_F(stream_directories, stream_from_before_a_second_version_is_unknown) {
    begin_stream(beginner_, "v1");
    add_version();
    cut_off_ = {beginner_};
    EXPECT_EQ(resume_at(other_), "v1");
    EXPECT_EQ(resume_at(*holders_.begin()), "v1");
}

// As above, for a version whose servers leave again, or that replaces the first
// one altogether.
TEST_F(stream_directories, stream_is_unknown_after_a_release_or_its_rollback) {
    begin_stream(beginner_, "v1");
    add_version();
    cut_off_ = {beginner_};
    for (const auto& [name, daemon] : daemons_) {
        daemon->remove_server("i-2");
    }
    clock_.advance(seconds{20});
    EXPECT_EQ(resume_at(other_), "v1");
    add_version();
    for (const auto& [name, daemon] : daemons_) {
        daemon->remove_server("i-1");
    }
    clock_.advance(seconds{20});
    EXPECT_EQ(resume_at(other_), "v1");
}

// A daemon that relayed a stream of which it was a holder told one other only,
// so that the loss of two daemons could take the record.
TEST_F(stream_directories, stream_is_lost_with_two_daemons) {
    auto ids = std::vector<std::string>{};
    for (auto number = 0; number < 100; ++number) {
        ids.push_back("q" + std::to_string(number));
        begin_stream("d1", "v1", ids.back());
    }
    add_version();
    for (const auto* const second : {"d2", "d3", "d4", "d5", "d6"}) {
        cut_off_ = {"d1", second};
        for (const auto& survivor : names_) {
            for (const auto& id : ids) {
                if (!cut_off_.contains(survivor)) {
                    ASSERT_EQ(resume_at(survivor, id), "v1")
                        << survivor << " without " << second << ", " << id;
                }
            }
        }
    }
}

// Daemons that had just started were asked in the place of those that had been
// told.
TEST_F(stream_directories, stream_is_unknown_after_daemons_have_started) {
    auto ids = std::vector<std::string>{};
    for (auto number = 0; number < 100; ++number) {
        ids.push_back("q" + std::to_string(number));
        begin_stream("d1", "v1", ids.back());
    }
    start_daemon("d1");
    start_daemon("d7");
    add_version();
    for (const auto& name : names_) {
        for (const auto& id : ids) {
            EXPECT_EQ(resume_at(name, id), "v1") << name << ", " << id;
        }
    }
}

// A daemon to which the announcement of a second version had not come yet took
// the first one for that of any stream, without a question.
TEST_F(stream_directories, late_announcement_joins_versions) {
    late_ = {other_};
    add_version();
    begin_stream(beginner_, "v2");
    EXPECT_EQ(resume_at(other_), "v2");
    // The record is lost; daemons that have seen both versions object.
    cut_off_ = {holders_.begin(), holders_.end()};
    cut_off_.insert(beginner_);
    EXPECT_EQ(resume_at(other_), "none");
}

// What a daemon infers that has not seen the second version yet was believed by
// one that had.
TEST_F(stream_directories, late_answer_joins_versions) {
    late_ = {names_.begin(), names_.end()};
    late_.erase(beginner_);
    late_.erase(other_);
    add_version();
    cut_off_ = holders_;
    begin_stream(beginner_, "v2");
    cut_off_ = {beginner_};
    EXPECT_EQ(resume_at(other_), "none");
}

// Daemons of the build before do not record streams of the time with one
// version, and infer it: as good a ground as this daemon's own view.
TEST_F(stream_directories,
       unrecorded_stream_resumes_while_one_version_is_seen) {
    EXPECT_EQ(resume_at(other_), "v1");
    start_daemon("d7");
    EXPECT_EQ(resume_at("d7"), "v1");
    add_version();
    EXPECT_EQ(resume_at(other_), "none");
    EXPECT_EQ(resume_at("d7"), "none");
}

// The record of a stream that is taken up twice stays known under the request
// that received the first event.
TEST_F(stream_directories, stream_that_is_taken_up_twice_is_unknown) {
    begin_stream(beginner_, "v1");
    add_version();
    cut_off_ = {beginner_};
    ASSERT_EQ(resume_at(other_), "v1");
    begin_stream(other_, "v1");
    cut_off_ = {beginner_, other_};
    EXPECT_EQ(resume_at(*holders_.rbegin()), "v1");
}

} // namespace
} // namespace basilstream::daemon
