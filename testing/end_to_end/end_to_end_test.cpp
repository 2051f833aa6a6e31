#include <csignal>
#include <future>

#include <gtest/gtest.h>

#include "basilstream/protocol/resources/resources.hpp"
#include "testing/end_to_end/cluster.hpp"
#include "testing/tokens/tokens.hpp"

namespace basilstream::testing {
namespace {

using nlohmann::json;

constexpr auto many_tokens = std::uint64_t{200};
// Of the two models and the adapter in `resources`.
constexpr auto declared_replicas = std::uint64_t{6};
// Reports of each runner to each daemon after which all have the latest.
constexpr auto report_rounds = std::uint64_t{4};

auto resources() -> json {
    const auto organisation = [](const char* name, const char* token) {
        return json{{"kind", "organisation"},
                    {"name", name},
                    {"token_hashes", {protocol::token_hash(token)}}};
    };
    const auto model = [](const char* owner, const char* name) {
        return json{{"kind", "model"},
                    {"organisation", owner},
                    {"name", name},
                    {"versions", {"v1"}},
                    {"memory_bytes", 1'000'000'000},
                    {"minimum_replicas", 2}};
    };
    return json::array({organisation("acme", "acme-token"),
                        organisation("meets", "meets-token"),
                        model("acme", "drafts"),
                        model("meets", "heats"),
                        {{"kind", "adapter"},
                         {"organisation", "acme"},
                         {"name", "formal"},
                         {"model", "drafts"},
                         {"memory_bytes", 10'000'000},
                         {"minimum_replicas", 2}},
                        {{"kind", "service"},
                         {"organisation", "acme"},
                         {"name", "tenders"},
                         {"non_idempotent_methods", {"POST"}}}});
}

// A deployment whose models have been applied and answer on every daemon.
struct end_to_end : ::testing::Test {
    auto start(cluster_options options) -> void {
        options.settings_ = {{"requests", {{"report_interval_ms", 100}}}};
        daemons_ = options.daemons_;
        runners_ = options.runners_;
        system_ = std::make_unique<cluster>(std::move(options));
        ASSERT_EQ(system_->apply(resources()), 0);
        for (auto daemon = std::size_t{0}; daemon < daemons_; ++daemon) {
            ASSERT_TRUE(eventually([&] { return answers(daemon); }))
                << "daemon " << daemon << ": " << last_;
        }
        // A second replica of everything, known to every daemon, is what
        // survives a lost runner.
        ASSERT_TRUE(eventually([&] {
            return system_->sum_of_books("loads") >= declared_replicas;
        }));
        const auto begun = reports();
        ASSERT_TRUE(eventually([&] {
            return reports() >= begun + report_rounds * daemons_ * runners_;
        }));
    }

    auto answers(std::size_t daemon) -> bool {
        return (last_ = complete(daemon, "acme/drafts")) == "ok" &&
               (last_ = complete(daemon, "acme/drafts:formal")) == "ok" &&
               (last_ = system_->complete(daemon, "meets/heats", "meets-token",
                                          "Heat one", 4)) == "ok";
    }

    // Returns how many load reports the runners have given so far.
    auto reports() -> std::uint64_t {
        auto sum = std::uint64_t{0};
        for (auto index = std::size_t{0}; index < runners_; ++index) {
            const auto report = system_->call_json(
                system_->runner_address(index), "/v1/report");
            sum += report.value("sequence", std::uint64_t{0});
        }
        return sum;
    }

    auto complete(std::size_t daemon, const std::string& model,
                  const std::string& prompt = "Dear all",
                  std::uint64_t max_tokens = 4) -> std::string {
        return system_->complete(daemon, model, "acme-token", prompt,
                                 max_tokens);
    }

    // Posts a submission and returns the answer.
    auto submit(std::size_t daemon, const std::string& key)
        -> result<transport::http_reply> {
        return system_->call(
            system_->caller_address(daemon),
            "/services/acme/tenders/submissions", "offer",
            {{"Authorization", "Bearer acme-token"}, {"Idempotency-Key", key}});
    }

    auto runs_of(const std::string& key) -> std::uint64_t {
        const auto books =
            system_->call_json(system_->service_address(), "/testing/books");
        return books["by_key"].value(key, std::uint64_t{0});
    }

    // Returns the index of the runner that has begun the longest generation
    // that has not finished, or the number of runners.
    auto busy_runner(std::size_t runners, std::uint64_t tokens) -> std::size_t {
        for (auto index = std::size_t{0}; index < runners; ++index) {
            const auto books = system_->call_json(
                system_->runner_address(index), "/testing/books");
            for (const auto& record : books["generations"]) {
                if (record["finish"].get<std::string>().empty() &&
                    record["tokens"] >= tokens) {
                    return index;
                }
            }
        }
        return runners;
    }

    std::unique_ptr<cluster> system_;
    std::size_t daemons_ = 0;
    std::size_t runners_ = 0;
    std::string last_;
};

auto long_prompt() -> std::string {
    // A prompt whose natural answer is long enough to be interrupted.
    for (auto number = 0;; ++number) {
        auto prompt = "Long pitch " + std::to_string(number);
        if (token_stream{{"acme/drafts", "", "v1", prompt}}.count(
                many_tokens) == many_tokens) {
            return prompt;
        }
    }
}

TEST_F(end_to_end, serves_each_organisation_its_own_models) {
    start({.daemons_ = 2, .runners_ = 3});
    EXPECT_EQ(complete(0, "meets/heats"), "not_found");
    EXPECT_EQ(complete(1, "acme/absent"), "not_found");
    EXPECT_EQ(system_->complete(0, "acme/drafts", "guess", "Hi", 4),
              "unauthenticated");
    EXPECT_EQ(system_->sum_of_books("memory_refusals"), 0U);
}

TEST_F(end_to_end, a_killed_runner_costs_no_token) {
    start({.daemons_ = 2, .runners_ = 3});
    auto answer = std::async(std::launch::async, [this] {
        return complete(0, "acme/drafts", long_prompt(), many_tokens);
    });
    auto victim = std::size_t{3};
    ASSERT_TRUE(eventually([&] { return (victim = busy_runner(3, 5)) < 3; }));
    system_->runner(victim).signal(SIGKILL);
    EXPECT_EQ(answer.get(), "ok");
}

TEST_F(end_to_end, a_silent_connection_costs_no_token) {
    start({.daemons_ = 1, .runners_ = 3});
    auto answer = std::async(std::launch::async, [this] {
        return complete(0, "acme/drafts", long_prompt(), many_tokens);
    });
    auto victim = std::size_t{3};
    ASSERT_TRUE(eventually([&] { return (victim = busy_runner(3, 5)) < 3; }));
    system_->set_faults(system_->runner_address(victim), {{"silent", true}});
    EXPECT_EQ(answer.get(), "ok");
    EXPECT_EQ(complete(0, "acme/drafts"), "ok");
}

TEST_F(end_to_end, broken_answers_never_reach_the_caller_as_whole) {
    start({.daemons_ = 1, .runners_ = 2});
    for (const auto* fault : {"truncated", "broken", "doubled", "crossed"}) {
        for (auto runner = std::size_t{0}; runner < 2; ++runner) {
            system_->set_faults(system_->runner_address(runner), {{fault, 1}});
        }
        auto answers = std::vector<std::future<std::string>>{};
        for (auto number = 0; number < 6; ++number) {
            answers.push_back(std::async(std::launch::async, [this, number] {
                return complete(0, "acme/drafts",
                                "Pitch " + std::to_string(number), 40);
            }));
        }
        for (auto& answer : answers) {
            const auto verdict = answer.get();
            EXPECT_NE(verdict, "wrong_token") << fault;
            EXPECT_NE(verdict, "short_answer") << fault;
        }
    }
}

TEST_F(end_to_end, a_crashing_request_takes_at_most_two_runners) {
    constexpr auto runners = std::size_t{4};
    start({.daemons_ = 2, .runners_ = runners});
    for (auto runner = std::size_t{0}; runner < runners; ++runner) {
        system_->set_faults(system_->runner_address(runner),
                            {{"crash_marker", "POISON"}});
    }
    // The caller sends it again, through either daemon.
    for (auto number = std::size_t{0}; number < 6; ++number) {
        EXPECT_NE(complete(number % 2, "acme/drafts", "POISON pitch"), "ok");
    }
    auto crashed = 0;
    for (auto runner = std::size_t{0}; runner < runners; ++runner) {
        crashed += system_->runner(runner).ended() ? 1 : 0;
    }
    EXPECT_GE(crashed, 1);
    EXPECT_LE(crashed, 2);
    for (auto daemon = std::size_t{0}; daemon < 2; ++daemon) {
        EXPECT_TRUE(eventually([&] { return answers(daemon); })) << last_;
    }
}

TEST_F(end_to_end, a_submission_repeated_after_a_killed_daemon_runs_once) {
    start({.daemons_ = 3, .runners_ = 2});
    ASSERT_TRUE(eventually([&] {
        const auto reply = submit(0, "warm-up");
        return reply && reply->status_ == 200;
    }));
    system_->set_faults(system_->service_address(), {{"slow_ms", 1000}});
    auto first =
        std::async(std::launch::async, [this] { return submit(0, "tender"); });
    ASSERT_TRUE(eventually([&] { return runs_of("tender") == 1; }));
    system_->daemon(0).signal(SIGKILL);
    EXPECT_FALSE(first.get().has_value());
    // The repeat must neither run it again nor call it not run.
    auto last = json{};
    ASSERT_TRUE(eventually([&] {
        const auto reply = submit(1, "tender");
        last = reply ? json::parse(reply->body_, nullptr, false) : json{};
        return reply && (reply->status_ == 200 ||
                         last["error"].value("code", "") == "outcome_unknown");
    })) << last.dump();
    EXPECT_EQ(runs_of("tender"), 1U);
}

TEST_F(end_to_end, without_the_log_models_answer_and_keyed_calls_do_not_run) {
    start({.daemons_ = 2, .runners_ = 2});
    system_->set_faults(system_->log_address(), {{"outage", true}});
    EXPECT_EQ(complete(1, "acme/drafts"), "ok");
    const auto refused = submit(0, "later");
    ASSERT_TRUE(refused.has_value());
    EXPECT_GE(refused->status_, 400);
    const auto body = json::parse(refused->body_, nullptr, false);
    EXPECT_EQ(body["error"].value("run", ""), "not_run") << refused->body_;
    EXPECT_EQ(runs_of("later"), 0U);
    system_->set_faults(system_->log_address(), {{"outage", false}});
    EXPECT_TRUE(eventually([&] {
        const auto reply = submit(0, "later");
        return reply && reply->status_ == 200;
    }));
    EXPECT_EQ(runs_of("later"), 1U);
}

TEST_F(end_to_end, a_rolling_restart_cuts_no_request) {
    start({.daemons_ = 2, .runners_ = 3});
    for (auto old = std::size_t{0}; old < 2; ++old) {
        auto answer = std::async(std::launch::async, [this, old] {
            return complete(old, "acme/drafts", long_prompt(), many_tokens);
        });
        ASSERT_TRUE(eventually([&] { return busy_runner(3, 1) < 3; }));
        system_->daemon(old).signal(SIGTERM);
        system_->daemon(old).signal(SIGTERM);
        EXPECT_EQ(answer.get(), "ok");
        EXPECT_EQ(system_->daemon(old).wait(), 0);
        const auto next = system_->start_daemon();
        ASSERT_TRUE(eventually([&] { return answers(next); })) << last_;
    }
}

} // namespace
} // namespace basilstream::testing
