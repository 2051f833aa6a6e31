/// Virtual daemons, log and backend service for the tests of claims.
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

/// Probabilities and delays of faults.
struct world_faults {
    double message_loss_ = 0;
    double append_lost_answer_ = 0;
    double append_dropped_ = 0;
    double append_late_ = 0;
    double append_refused_ = 0;
    double slow_dispatch_ = 0;
    double lost_answer_ = 0;
    double never_dispatched_ = 0;
    double stalled_read_ = 0;
};

/// What a caller was told, and when.
struct caller_view {
    claim_key key_;
    std::size_t body_ = 0;
    time_point submitted_;
    std::optional<time_point> ended_;
    std::optional<std::variant<error, stored_answer>> answer_;
    std::uint32_t outcomes_ = 0;
    std::string daemon_;
    std::optional<time_point> permitted_ = {};
};

/// One run on the backend service.
struct service_run {
    std::string request_id_;
    time_point at_;
};

class world {
public:
    world(std::uint64_t seed, claim_settings settings, world_faults faults,
          const claim_guards* guards = nullptr)
        : random_{seed}, settings_{settings}, faults_{faults}, guards_{guards},
          streams_(settings.shard_count_) {}

    auto add_daemon(const std::string& name) -> void {
        auto fresh = std::make_unique<daemon>();
        fresh->name_ = name;
        fresh->claims_ = std::make_unique<claim_service>(
            settings_, daemon_identity{name, name + "-boot"}, guards_);
        daemons_[name] = std::move(fresh);
        schedule(duration{0}, [this, name] { step_daemon(name); });
        announce();
    }
    auto kill(const std::string& name) -> void {
        daemons_.erase(name);
        announce();
        for (auto& [id, view] : callers_) {
            if (view.daemon_ == name && !view.ended_) {
                view.ended_ = now_;
            }
        }
    }
    auto pause(const std::string& name, duration length) -> void {
        daemons_.at(name)->resume_at_ = now_ + length;
    }
    /// Cuts one daemon off the log; all others but `confidant` take it for
    /// dead.
    auto isolate(const std::string& name, const std::string& confidant,
                 duration length) -> void {
        daemons_.at(name)->log_cut_until_ = now_ + length;
        auto rest = live();
        std::erase(rest, name);
        for (const auto& other : rest) {
            if (other != confidant) {
                show_members(other, rest);
            }
        }
        schedule(length, [this] { announce(); });
    }
    auto leave(const std::string& name) -> void {
        daemons_.at(name)->claims_->release_all(now_);
        daemons_.at(name)->leaving_ = true;
        announce();
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
    /// Shows one daemon a list of members until the next change.
    auto show_members(const std::string& name, std::vector<std::string> members)
        -> void {
        deliver(name, [this, members = std::move(members)](daemon& target) {
            target.claims_->on_members(members, now_);
        });
    }
    [[nodiscard]] auto live() const -> std::vector<std::string> {
        auto names = std::vector<std::string>{};
        for (const auto& [name, known] : daemons_) {
            if (!known->leaving_) {
                names.push_back(name);
            }
        }
        return names;
    }
    /// Drops records older than `age` from every stream.
    auto retain(duration age) -> void {
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
    [[nodiscard]] auto view(const std::string& id) const -> const caller_view& {
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
        for (const auto& [name, known] : daemons_) {
            if (known->claims_->owns(shard)) {
                return name;
            }
        }
        return "";
    }
    /// Returns the first broken promise, or an empty string.
    [[nodiscard]] auto broken_promise() const -> std::string {
        for (const auto& [key, runs] : runs_) {
            if (runs.size() > 1) {
                return "ran twice: " + key.key_;
            }
        }
        for (const auto& [id, view] : callers_) {
            if (auto broken = broken_promise_to(id, view); !broken.empty()) {
                return broken;
            }
        }
        return "";
    }

    seeded_random random_;
    time_point now_{seconds{1000}};
    bool log_up_ = true;
    std::uint64_t steps_ = 0;
    claim_settings settings_;
    world_faults faults_;
    std::map<std::string, caller_view> callers_;
    duration run_time_ = milliseconds{30};

    struct daemon {
        std::string name_;
        std::unique_ptr<claim_service> claims_;
        time_point resume_at_{};
        time_point log_cut_until_{};
        std::map<std::uint32_t, std::uint64_t> followed_;
        bool leaving_ = false;
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

    [[nodiscard]] auto happens(double probability) -> bool {
        return random_.fraction() < probability;
    }
    auto between(duration low, duration high) -> duration {
        const auto span = static_cast<std::uint64_t>((high - low).count());
        return low + duration{static_cast<std::int64_t>(random_.below(span))};
    }
    // Runs `action` on a living daemon as soon as it isn't paused.
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
        carry_out(target);
    }
    auto announce() -> void {
        const auto members = live();
        for (const auto& [name, known] : daemons_) {
            schedule(between(milliseconds{1}, seconds{2}),
                     [this, name = name] { show_members(name, live()); });
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
            if (!log_up_ || target.log_cut_until_ > now_) {
                target.claims_->on_read_failed(shard, now_);
                continue;
            }
            if (happens(faults_.stalled_read_)) {
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
    auto carry_out(daemon& target) -> void {
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
        if (happens(faults_.message_loss_)) {
            return;
        }
        schedule(
            between(milliseconds{1}, milliseconds{4}),
            [this, from = target.name_, output] {
                deliver(output.peer_, [this, from, output](daemon& receiver) {
                    receiver.claims_->on_message(from, output.message_, now_);
                });
            });
    }
    auto perform(daemon& target, append_output& output) -> void {
        schedule(between(milliseconds{1}, milliseconds{5}),
                 [this, name = target.name_, output] { append(name, output); });
    }
    auto append(const std::string& name, const append_output& output) -> void {
        auto status = append_status::ok;
        const auto late = happens(faults_.append_late_);
        if (!reaches_log(name) || happens(faults_.append_dropped_) || late) {
            status = append_status::unknown;
        } else if (happens(faults_.append_refused_)) {
            status = append_status::refused;
        } else {
            store(output);
            if (happens(faults_.append_lost_answer_)) {
                status = append_status::unknown;
            }
        }
        if (late) {
            schedule(between(milliseconds{50}, seconds{8}),
                     [this, output] { store(output); });
        }
        schedule(between(milliseconds{1}, milliseconds{5}),
                 [this, name, output, status] {
                     deliver(name, [this, output, status](daemon& target) {
                         target.claims_->on_append_result(
                             output.shard_, output.ticket_, status, now_);
                     });
                 });
    }
    [[nodiscard]] auto reaches_log(const std::string& name) const -> bool {
        const auto found = daemons_.find(name);
        return log_up_ && (found == daemons_.end() ||
                           found->second->log_cut_until_ <= now_);
    }
    auto store(const append_output& output) -> void {
        for (const auto& record : output.records_) {
            streams_[output.shard_].rows_.push_back({record, now_});
        }
    }
    auto perform(daemon& /*target*/, answer_output& output) -> void {
        auto& view = callers_.at(output.request_id_);
        ++view.outcomes_;
        view.ended_ = now_;
        view.answer_ = std::move(output.answer_);
    }
    auto perform(daemon& target, dispatch_output& output) -> void {
        ++callers_.at(output.request_id_).outcomes_;
        callers_.at(output.request_id_).permitted_ = now_;
        auto delay = between(duration{1}, milliseconds{10});
        if (happens(faults_.slow_dispatch_)) {
            delay += between(seconds{1}, seconds{15});
        }
        schedule(delay, [this, name = target.name_, id = output.request_id_] {
            deliver(name, [this, id](daemon& sender) { dispatch(sender, id); });
        });
    }
    auto dispatch(daemon& sender, const std::string& id) -> void {
        auto& view = callers_.at(id);
        if (happens(faults_.never_dispatched_)) {
            sender.claims_->abandon(id, now_);
            view.ended_ = now_;
            view.answer_ = error{error_code::unavailable,
                                 step::service,
                                 "",
                                 "",
                                 run_status::not_run,
                                 {}};
            return;
        }
        const auto lost = happens(faults_.lost_answer_);
        runs_[view.key_].push_back({id, now_});
        schedule(run_time_, [this, name = sender.name_, id, lost] {
            deliver(name, [this, id, lost](daemon& target) {
                auto& ended = callers_.at(id);
                ended.ended_ = now_;
                if (lost) {
                    target.claims_->lose(id, now_);
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
    [[nodiscard]] auto broken_promise_to(const std::string& id,
                                         const caller_view& view) const
        -> std::string {
        if (view.outcomes_ > 1) {
            return "two outcomes: " + id;
        }
        if (!view.answer_) {
            return "";
        }
        static const auto none = std::vector<service_run>{};
        const auto found = runs_.find(view.key_);
        const auto& runs = found == runs_.end() ? none : found->second;
        if (const auto* stored = std::get_if<stored_answer>(&*view.answer_)) {
            const auto own = !runs.empty() && *stored == answer_for(view.key_);
            const auto same_body =
                own &&
                callers_.at(runs.front().request_id_).body_ == view.body_;
            return same_body ? "" : "foreign answer: " + id;
        }
        const auto& failure = std::get<error>(*view.answer_);
        if (failure.run_ == run_status::ran && runs.empty()) {
            return "said ran: " + id;
        }
        if (failure.run_ != run_status::not_run) {
            return "";
        }
        for (const auto& run : runs) {
            const auto& runner = callers_.at(run.request_id_);
            const auto earlier =
                runner.ended_ && *runner.ended_ < view.submitted_;
            const auto same_body = runner.body_ == view.body_;
            const auto seen = run.at_ <= *view.ended_;
            if (run.request_id_ == id || (earlier && same_body && seen)) {
                return "said not run: " + id;
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
