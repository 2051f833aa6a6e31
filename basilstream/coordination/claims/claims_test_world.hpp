/// Deterministic simulation of daemons, their log and a backend service, for
/// the tests of claims.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/base/random/random.hpp"
#include "basilstream/coordination/claims/claims.hpp"

namespace basilstream::coordination::testing {

/// Probabilities of faults, each in [0, 1] per event.
struct fault_settings {
    double message_loss_ = 0;
    /// The append succeeds, but its result is lost.
    double append_lost_answer_ = 0;
    /// The append is lost and its outcome unknown.
    double append_dropped_ = 0;
    /// The append takes effect up to 8 s after an unknown outcome.
    double append_late_ = 0;
    double append_refused_ = 0;
    /// 1 to 15 s pass between permission and dispatch.
    double slow_dispatch_ = 0;
    /// The backend service's answer is lost after the run.
    double lost_answer_ = 0;
    double never_dispatched_ = 0;
    /// A read of the log returns nothing in this step.
    double stalled_read_ = 0;
};

/// A caller's request and its outcome.
struct caller_outcome {
    claim_key key_;
    /// Number that stands for the request body.
    std::size_t body_ = 0;
    time_point submitted_;
    /// Absent while the request has no outcome.
    std::optional<time_point> ended_;
    std::optional<std::variant<error, stored_answer>> answer_;
    /// Number of permissions and answers without dispatch; at most 1.
    std::uint32_t outcomes_ = 0;
    std::string daemon_;
    std::optional<time_point> permitted_ = {};
};

/// One run on the backend service.
struct service_run {
    std::string request_id_;
    time_point at_;
};

/// Runs daemons in virtual time and records the outcome of every request.
class simulated_cluster {
public:
    simulated_cluster(std::uint64_t seed, claim_settings settings,
                      fault_settings faults,
                      const claim_guards* guards = nullptr)
        : random_{seed}, settings_{settings}, faults_{faults}, guards_{guards},
          streams_(settings.shard_count_) {}

    auto add_daemon(const std::string& name) -> void {
        auto added = std::make_unique<daemon>();
        added->name_ = name;
        added->claims_ = std::make_unique<claim_service>(
            settings_, daemon_identity{name, name + "-boot"}, guards_);
        daemons_[name] = std::move(added);
        schedule(duration{0}, [this, name] { step_daemon(name); });
        publish_members();
    }
    auto kill(const std::string& name) -> void {
        daemons_.erase(name);
        publish_members();
        for (auto& [id, outcome] : callers_) {
            if (outcome.daemon_ == name && !outcome.ended_) {
                outcome.ended_ = now_;
            }
        }
    }
    auto pause(const std::string& name, duration length) -> void {
        daemons_.at(name)->resume_at_ = now_ + length;
    }
    /// Partitions one daemon from the log and removes it from the member lists
    /// of all others but `informed_peer`, until `length` has passed.
    auto isolate(const std::string& name, const std::string& informed_peer,
                 duration length) -> void {
        daemons_.at(name)->log_cut_until_ = now_ + length;
        auto remaining = active_members();
        std::erase(remaining, name);
        for (const auto& other : remaining) {
            if (other != informed_peer) {
                deliver_members(other, remaining);
            }
        }
        schedule(length, [this] { publish_members(); });
    }
    auto drain(const std::string& name) -> void {
        daemons_.at(name)->claims_->release_all(now_);
        daemons_.at(name)->draining_ = true;
        publish_members();
    }
    auto submit(const std::string& name, const claim_key& key,
                std::size_t body = 0, duration deadline = seconds{30})
        -> std::string {
        auto id = "r" + std::to_string(++requests_);
        callers_[id] = {key, body, now_, {}, {}, 0, name, {}};
        const auto submission = claim_submission{
            key, fingerprint_of("POST", "/", std::to_string(body)), id,
            now_ + deadline};
        deliver(name, [this, submission](daemon& target) {
            target.claims_->submit(submission, now_);
        });
        return id;
    }
    auto run_for(duration length) -> void {
        const auto end = now_ + length;
        while (!events_.empty() && events_.top().at_ <= end) {
            auto event = events_.top();
            events_.pop();
            now_ = event.at_;
            ++steps_;
            event.action_();
        }
        now_ = end;
    }
    auto schedule(duration delay, std::function<void()> action) -> void {
        events_.push({now_ + delay, ++sequence_, std::move(action)});
    }
    /// Delivers a list of members to one daemon, valid until the next change.
    auto deliver_members(const std::string& name,
                         std::vector<std::string> members) -> void {
        deliver(name, [this, members = std::move(members)](daemon& target) {
            target.claims_->on_members(members, now_);
        });
    }
    [[nodiscard]] auto active_members() const -> std::vector<std::string> {
        auto names = std::vector<std::string>{};
        for (const auto& [name, candidate] : daemons_) {
            if (!candidate->draining_) {
                names.push_back(name);
            }
        }
        return names;
    }
    /// Truncates every stream to the records not older than `age`.
    auto drop_records_older_than(duration age) -> void {
        for (auto& stream : streams_) {
            while (!stream.rows_.empty() &&
                   now_ - stream.rows_.front().at_ > age) {
                stream.rows_.pop_front();
                ++stream.first_offset_;
            }
        }
    }
    [[nodiscard]] auto runs_of(const claim_key& key) const -> std::size_t {
        const auto found = runs_.find(key);
        return found == runs_.end() ? 0 : found->second.size();
    }
    [[nodiscard]] auto outcome(const std::string& id) const
        -> const caller_outcome& {
        return callers_.at(id);
    }
    [[nodiscard]] auto error_of(const std::string& id) const
        -> std::optional<error> {
        const auto& answer = callers_.at(id).answer_;
        if (!answer || !std::holds_alternative<error>(*answer)) {
            return std::nullopt;
        }
        return std::get<error>(*answer);
    }
    [[nodiscard]] auto answered(const std::string& id) const -> bool {
        const auto& answer = callers_.at(id).answer_;
        return answer && std::holds_alternative<stored_answer>(*answer);
    }
    [[nodiscard]] auto owner_of(std::uint32_t shard) const -> std::string {
        for (const auto& [name, candidate] : daemons_) {
            if (candidate->claims_->owns(shard)) {
                return name;
            }
        }
        return "";
    }
    /// Returns a description of the first violated guarantee; empty if none.
    [[nodiscard]] auto violated_guarantee() const -> std::string {
        for (const auto& [key, runs] : runs_) {
            if (runs.size() > 1) {
                return "more than one run of key: " + key.key_;
            }
        }
        for (const auto& [id, outcome] : callers_) {
            if (auto violation = violated_guarantee_of(id, outcome);
                !violation.empty()) {
                return violation;
            }
        }
        return "";
    }

    seeded_random random_;
    time_point now_{seconds{1000}};
    bool log_available_ = true;
    std::uint64_t steps_ = 0;
    claim_settings settings_;
    fault_settings faults_;
    std::map<std::string, caller_outcome> callers_;
    duration run_time_ = milliseconds{30};

    struct daemon {
        std::string name_;
        std::unique_ptr<claim_service> claims_;
        time_point resume_at_{};
        time_point log_cut_until_{};
        std::map<std::uint32_t, std::uint64_t> followed_;
        bool draining_ = false;
    };
    std::map<std::string, std::unique_ptr<daemon>> daemons_;

private:
    struct row {
        claim_log_record record_;
        time_point at_;
    };
    struct stream {
        std::deque<row> rows_;
        std::uint64_t first_offset_ = 0;
    };
    struct event {
        time_point at_;
        std::uint64_t sequence_ = 0;
        std::function<void()> action_;
        auto operator<(const event& other) const -> bool {
            return std::pair{at_, sequence_} >
                   std::pair{other.at_, other.sequence_};
        }
    };

    [[nodiscard]] auto occurs_with_probability(double probability) -> bool {
        return random_.fraction() < probability;
    }
    auto random_duration(duration low, duration high) -> duration {
        const auto span = static_cast<std::uint64_t>((high - low).count());
        return low + duration{static_cast<std::int64_t>(random_.below(span))};
    }
    // Runs `action` on the daemon once it is not paused; drops the action if
    // the daemon was killed.
    auto deliver(const std::string& name, std::function<void(daemon&)> action)
        -> void {
        const auto found = daemons_.find(name);
        if (found == daemons_.end()) {
            return;
        }
        auto& target = *found->second;
        if (target.resume_at_ > now_) {
            schedule(target.resume_at_ - now_,
                     [this, name, action = std::move(action)] {
                         deliver(name, action);
                     });
            return;
        }
        action(target);
        perform_outputs(target);
    }
    auto publish_members() -> void {
        const auto members = active_members();
        for (const auto& [name, candidate] : daemons_) {
            schedule(random_duration(milliseconds{1}, seconds{2}),
                     [this, name = name] {
                         deliver_members(name, active_members());
                     });
        }
    }
    auto step_daemon(const std::string& name) -> void {
        if (!daemons_.contains(name)) {
            return;
        }
        deliver(name, [this](daemon& target) {
            target.claims_->tick(now_);
            read_streams(target);
        });
        schedule(milliseconds{20}, [this, name] { step_daemon(name); });
    }
    auto read_streams(daemon& target) -> void {
        const auto followed = target.followed_;
        for (const auto& [shard, from] : followed) {
            if (!log_available_ || target.log_cut_until_ > now_) {
                target.claims_->on_read_failed(shard, now_);
                continue;
            }
            if (occurs_with_probability(faults_.stalled_read_)) {
                continue;
            }
            const auto& source = streams_[shard];
            auto read = claim_read{{},
                                   source.first_offset_,
                                   source.first_offset_ + source.rows_.size()};
            auto offset = std::max(from, source.first_offset_);
            constexpr auto batch = 200;
            while (offset < read.next_offset_ && read.entries_.size() < batch) {
                read.entries_.push_back(
                    {offset,
                     source.rows_[offset - source.first_offset_].record_});
                ++offset;
            }
            target.followed_[shard] = offset;
            target.claims_->on_read(shard, read, now_);
        }
    }
    auto perform_outputs(daemon& target) -> void {
        for (auto& output : target.claims_->poll()) {
            std::visit([&](auto& typed) { perform(target, typed); }, output);
        }
    }
    auto perform(daemon& target, follow_output& output) -> void {
        target.followed_[output.shard_] = output.from_;
    }
    auto perform(daemon& target, unfollow_output& output) -> void {
        target.followed_.erase(output.shard_);
    }
    auto perform(daemon& target, send_output& output) -> void {
        if (occurs_with_probability(faults_.message_loss_)) {
            return;
        }
        schedule(
            random_duration(milliseconds{1}, milliseconds{4}),
            [this, from = target.name_, output] {
                deliver(output.peer_, [this, from, output](daemon& receiver) {
                    receiver.claims_->on_message(from, output.message_, now_);
                });
            });
    }
    auto perform(daemon& target, append_output& output) -> void {
        schedule(random_duration(milliseconds{1}, milliseconds{5}),
                 [this, name = target.name_, output] { append(name, output); });
    }
    auto append(const std::string& name, const append_output& output) -> void {
        auto status = append_status::ok;
        const auto late = occurs_with_probability(faults_.append_late_);
        if (!can_reach_log(name) ||
            occurs_with_probability(faults_.append_dropped_) || late) {
            status = append_status::unknown;
        } else if (occurs_with_probability(faults_.append_refused_)) {
            status = append_status::refused;
        } else {
            store(output);
            if (occurs_with_probability(faults_.append_lost_answer_)) {
                status = append_status::unknown;
            }
        }
        if (late) {
            schedule(random_duration(milliseconds{50}, seconds{8}),
                     [this, output] { store(output); });
        }
        schedule(random_duration(milliseconds{1}, milliseconds{5}),
                 [this, name, output, status] {
                     deliver(name, [this, output, status](daemon& target) {
                         target.claims_->on_append_result(
                             output.shard_, output.ticket_, status, now_);
                     });
                 });
    }
    [[nodiscard]] auto can_reach_log(const std::string& name) const -> bool {
        const auto found = daemons_.find(name);
        return log_available_ && (found == daemons_.end() ||
                                  found->second->log_cut_until_ <= now_);
    }
    auto store(const append_output& output) -> void {
        for (const auto& record : output.records_) {
            streams_[output.shard_].rows_.push_back({record, now_});
        }
    }
    auto perform(daemon& /*target*/, answer_output& output) -> void {
        auto& outcome = callers_.at(output.request_id_);
        ++outcome.outcomes_;
        outcome.ended_ = now_;
        outcome.answer_ = std::move(output.answer_);
    }
    auto perform(daemon& target, dispatch_output& output) -> void {
        ++callers_.at(output.request_id_).outcomes_;
        callers_.at(output.request_id_).permitted_ = now_;
        auto delay = random_duration(duration{1}, milliseconds{10});
        if (occurs_with_probability(faults_.slow_dispatch_)) {
            delay += random_duration(seconds{1}, seconds{15});
        }
        schedule(delay, [this, name = target.name_, id = output.request_id_] {
            deliver(name, [this, id](daemon& sender) { dispatch(sender, id); });
        });
    }
    auto dispatch(daemon& sender, const std::string& id) -> void {
        auto& outcome = callers_.at(id);
        if (occurs_with_probability(faults_.never_dispatched_)) {
            sender.claims_->abandon(id, now_);
            outcome.ended_ = now_;
            outcome.answer_ = error{error_code::unavailable,
                                    step::service,
                                    "",
                                    "",
                                    run_status::not_run,
                                    {}};
            return;
        }
        const auto lost = occurs_with_probability(faults_.lost_answer_);
        runs_[outcome.key_].push_back({id, now_});
        schedule(run_time_, [this, name = sender.name_, id, lost] {
            deliver(name, [this, id, lost](daemon& target) {
                auto& ended = callers_.at(id);
                ended.ended_ = now_;
                if (lost) {
                    target.claims_->mark_outcome_unknown(id, now_);
                    ended.answer_ = error{error_code::outcome_unknown,
                                          step::service,
                                          "",
                                          "",
                                          run_status::unknown,
                                          {}};
                    return;
                }
                ended.answer_ = answer_for(ended.key_);
                target.claims_->finish(id, answer_for(ended.key_), now_);
            });
        });
    }
    static auto answer_for(const claim_key& key) -> stored_answer {
        return {200, "text/plain", "answer to " + key.key_};
    }
    [[nodiscard]] auto
    violated_guarantee_of(const std::string& id,
                          const caller_outcome& outcome) const -> std::string {
        if (outcome.outcomes_ > 1) {
            return "more than one outcome of request: " + id;
        }
        if (!outcome.answer_) {
            return "";
        }
        static const auto none = std::vector<service_run>{};
        const auto found = runs_.find(outcome.key_);
        const auto& runs = found == runs_.end() ? none : found->second;
        if (const auto* stored =
                std::get_if<stored_answer>(&*outcome.answer_)) {
            const auto is_own_answer =
                !runs.empty() && *stored == answer_for(outcome.key_);
            const auto same_body =
                is_own_answer &&
                callers_.at(runs.front().request_id_).body_ == outcome.body_;
            return same_body ? "" : "answer belongs to another request: " + id;
        }
        const auto& failure = std::get<error>(*outcome.answer_);
        if (failure.run_ == run_status::ran && runs.empty()) {
            return "reported as run, but never ran: " + id;
        }
        if (failure.run_ != run_status::not_run) {
            return "";
        }
        for (const auto& run : runs) {
            const auto& request_of_run = callers_.at(run.request_id_);
            const auto earlier = request_of_run.ended_ &&
                                 *request_of_run.ended_ < outcome.submitted_;
            const auto same_body = request_of_run.body_ == outcome.body_;
            const auto already_started = run.at_ <= *outcome.ended_;
            if (run.request_id_ == id ||
                (earlier && same_body && already_started)) {
                return "reported as not run, but ran: " + id;
            }
        }
        return "";
    }

    const claim_guards* guards_;
    std::vector<stream> streams_;
    std::priority_queue<event> events_;
    std::uint64_t sequence_ = 0;
    std::uint64_t requests_ = 0;
    std::map<claim_key, std::vector<service_run>> runs_;
};

} // namespace basilstream::coordination::testing
