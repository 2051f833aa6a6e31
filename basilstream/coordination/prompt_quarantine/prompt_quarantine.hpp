/// Finds the parts of prompts that crash each runner that begins to answer a
/// request with them, and keeps such requests from being executed.
///
/// Each daemon holds one `prompt_quarantine`. It reports the parts of the
/// prompts that were in flight on a crashed runner; the daemons exchange the
/// events that poll() returns, so that all of them judge the same crashes.
///
///     if (const auto part = tracker.find_held(run.parts_, now)) {
///         // refuse until tracker.held_for(*part, now) has passed
///     }
///     tracker.on_dispatch(run, now);
///     // send the request; when it has ended:
///     tracker.on_finish(run.run_id_, true, now);
///
/// A crash takes many requests with it, of which one at most is to blame. A
/// part is innocent if a request with it was answered completely. Of the
/// others, the one that was in flight at most crashes is held after its third;
/// crashes at which it was in flight then blame no other part. Parts that are
/// in flight at the same crashes are told apart by further ones, and all held
/// after the fifth. Crashes at nearly the same time count as one, since a loss
/// of power or network ends many servers at once.
///
/// A held part is tried by one daemon, one request at a time, at most twice. A
/// complete answer releases it.
///
/// The state is bounded: see the constants of the implementation. Not safe for
/// concurrent use.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

#include "basilstream/base/clock/clock.hpp"

namespace basilstream::coordination {

/// Identifies a part of a prompt by its content.
using prompt_part_id = std::uint64_t;

/// Returns the hexadecimal digits of a part's id, 16 of them.
[[nodiscard]] auto format_part(prompt_part_id part) -> std::string;

/// Parses the format of format_part(); nullopt if malformed.
[[nodiscard]] auto parse_part(std::string_view digits)
    -> std::optional<prompt_part_id>;

/// One execution of a request on a runner. `boot_id_` identifies the start of
/// the runner's process; empty if unknown.
struct prompt_run {
    std::string run_id_;
    std::string runner_;
    std::string boot_id_;
    /// The parts that other requests may share, without duplicates.
    std::vector<prompt_part_id> parts_;
};

/// Reports parts that were in flight on a runner when it crashed, or when
/// connections to it were lost as if it had.
struct prompt_crash {
    std::string runner_;
    std::string boot_id_;
    /// Time since the crash.
    duration age_ = {};
    std::vector<prompt_part_id> parts_;
};

/// Reports that the runner of an earlier prompt_crash lives.
struct prompt_crash_refutation {
    std::string runner_;
    std::string boot_id_;
};

/// Reports that requests with these parts were answered completely.
struct prompt_part_clearance {
    std::vector<prompt_part_id> parts_;
};

/// Holds a part. Outlasts the daemons if it is kept in a store.
struct prompt_part_mark {
    prompt_part_id part_ = 0;
    /// Time since the part was held, or since its last failed trial.
    duration age_ = {};
    /// Whether other parts are as likely to be to blame.
    bool ambiguous_ = false;
    int failed_trials_ = 0;
};

/// Releases a held part.
struct prompt_part_release {
    prompt_part_id part_ = 0;
};

/// Action that poll() asks the caller to perform: send to the other daemons
/// and, for marks and releases, keep in a store.
using prompt_quarantine_event =
    std::variant<prompt_crash, prompt_crash_refutation, prompt_part_clearance,
                 prompt_part_mark, prompt_part_release>;

/// Settings of a prompt_quarantine.
struct prompt_quarantine_settings {
    /// How long crashes count.
    duration crash_lifetime_ = std::chrono::minutes{10};
    /// Parts of complete answers are remembered for this long to twice as long,
    /// unless there are too many.
    duration memory_of_answers_ = std::chrono::minutes{5};
    /// Time from a mark, and from its first failed trial, to the next trial.
    duration first_trial_after_ = std::chrono::minutes{10};
    duration first_trial_after_if_ambiguous_ = seconds{15};
    duration second_trial_after_ = std::chrono::hours{2};
    /// A part for which nobody asks is released after this time.
    duration mark_lifetime_ = std::chrono::hours{24};
    /// Crashes at a smaller distance count as one.
    duration coincidence_ = milliseconds{100};
    /// A request whose output began this long before a crash did not cause it.
    duration harmless_output_ = seconds{1};
    /// How long a run whose end may have been a crash waits for further signs.
    duration crash_detection_window_ = seconds{6};
    /// What a runner sent before a crash has arrived this long after it.
    duration longest_delivery_ = milliseconds{500};
    /// A runner is down for longer than this after a crash.
    duration shortest_restart_ = milliseconds{1500};
    /// How long a new arbiter waits before it tries a held part.
    duration takeover_delay_ = seconds{12};
    /// Spread of the delays before many daemons clear a suspected part, for
    /// each of them. A clearance reaches the others within some tens of ms.
    duration clearance_delay_per_member_ = milliseconds{10};
};

/// Up to this number of daemons, each clears suspected parts at once.
inline constexpr auto max_prompt_repliers = std::size_t{12};

/// Counters, for metrics.
struct prompt_quarantine_statistics {
    /// Crashes known, and those that were refuted.
    std::uint64_t crashes_ = 0;
    std::uint64_t refutations_ = 0;
    std::uint64_t marks_ = 0;
    std::uint64_t releases_ = 0;
    std::uint64_t clearances_ = 0;
    std::uint64_t trials_ = 0;
    /// Requests refused for a held part.
    std::uint64_t refusals_ = 0;
};

/// Status of a held part, for operators.
struct held_part {
    prompt_part_id part_ = 0;
    bool ambiguous_ = false;
    int failed_trials_ = 0;
};

class prompt_quarantine {
public:
    /// `self` is the name of this daemon in the list of members.
    prompt_quarantine(prompt_quarantine_settings settings, std::string self);

    /// Sets the live members in this daemon's view, itself included, and elects
    /// the arbiter, which makes the trials.
    auto set_members(const std::vector<std::string>& members, time_point now)
        -> void;
    [[nodiscard]] auto arbiter() const -> const std::string& {
        return arbiter_;
    }

    /// Returns a part for which a request must not be executed now.
    [[nodiscard]] auto find_held(const std::vector<prompt_part_id>& parts,
                                 time_point now) const
        -> std::optional<prompt_part_id>;
    /// Returns the time until the next trial of a held part.
    [[nodiscard]] auto held_for(prompt_part_id part, time_point now) const
        -> duration;
    /// Records that a request was refused for a held part.
    auto on_refused(prompt_part_id part, time_point now) -> void;

    /// Records a run of this daemon; call it before the first byte is sent.
    auto on_dispatch(prompt_run run, time_point now) -> void;
    /// Records output of a run: the first one, and later ones while
    /// has_uncertain_ends(), as they show that the runner has survived.
    auto on_output(std::string_view run_id, time_point now) -> void;
    /// Records that a run has got an answer from this process of a runner.
    auto on_alive(std::string_view run_id, time_point now) -> void;
    /// Records the end of a run. `complete` says whether the answer was
    /// complete and shows that the runner survived the request.
    auto on_finish(std::string_view run_id, bool complete, time_point now)
        -> void;
    /// Records an end that may be a crash: an answer that ended with its
    /// connection, or a run that was cancelled while its runner was silent.
    /// `complete` says whether the answer was complete if it was no crash; it
    /// counts as such once another run shows that the runner has survived.
    auto on_uncertain_end(std::string_view run_id, bool complete,
                          time_point now) -> void;
    [[nodiscard]] auto has_uncertain_ends() const -> bool {
        return !uncertain_ends_.empty();
    }
    /// Records that the connection of a run was lost before a complete answer.
    auto on_connection_lost(std::string_view run_id, time_point now) -> void;
    /// Records a crash of a runner that the list of runners shows.
    auto on_crash(std::string_view runner, time_point now) -> void;

    /// Applies what other daemons report or the store holds.
    auto merge(const prompt_crash& received, time_point now) -> void;
    auto merge(const prompt_crash_refutation& received, time_point now) -> void;
    auto merge(const prompt_part_clearance& received, time_point now) -> void;
    auto merge(const prompt_part_mark& received, time_point now) -> void;
    auto merge(const prompt_part_release& received, time_point now) -> void;

    /// Removes expired state and returns the actions that are due. Call it at
    /// least once a second.
    [[nodiscard]] auto poll(time_point now)
        -> std::vector<prompt_quarantine_event>;
    [[nodiscard]] auto list() const -> std::vector<held_part>;
    [[nodiscard]] auto statistics() const
        -> const prompt_quarantine_statistics& {
        return statistics_;
    }

private:
    struct local_run {
        prompt_run run_;
        time_point started_at_;
        std::optional<time_point> output_since_ = {};
        // Whether the run is the trial of a held part.
        bool trial_ = false;
    };
    // A run that ended in a way that may be a crash.
    struct uncertain_end {
        local_run run_;
        time_point ended_at_;
        // Whether the answer was complete if it was no crash.
        bool complete_ = false;
    };
    struct crash {
        std::string runner_;
        std::string boot_id_;
        time_point seen_at_;
        // Sorted.
        std::vector<prompt_part_id> parts_ = {};
        // Parts not yet reported to the other daemons.
        std::vector<prompt_part_id> unreported_ = {};
        // When a connection of this daemon was lost, if one was.
        std::optional<time_point> lost_here_at_ = {};
        // Whether the list of runners shows it.
        bool listed_ = false;
        bool refuted_ = false;
    };
    struct mark {
        time_point set_at_;
        bool ambiguous_ = false;
        int failed_trials_ = 0;
        // Whether the crashes that this daemon knows justify the mark.
        bool derived_ = false;
    };
    // Parts to blame, and whether each of them is ambiguous.
    using blamed_parts = std::map<prompt_part_id, bool>;
    // What the known crashes show.
    struct judgement {
        blamed_parts blamed_;
        // The crashes that they explain.
        std::unordered_set<const crash*> explained_;
    };

    class blame_search;

    [[nodiscard]] auto is_innocent(prompt_part_id part) const -> bool;
    auto remember_innocent(prompt_part_id part) -> void;
    [[nodiscard]] auto next_trial(const mark& entry) const
        -> std::optional<time_point>;
    [[nodiscard]] auto may_try(prompt_part_id part, time_point now) const
        -> bool;
    auto find_crash(std::string_view runner, std::string_view boot_id,
                    time_point seen_at) -> crash*;
    auto add_crash(const std::string& runner, const std::string& boot_id,
                   time_point seen_at) -> crash&;
    auto forget_parts(crash& target) -> void;
    // Adds parts to a crash; those of this daemon's runs are to be reported.
    auto add_parts(crash& target, const std::vector<prompt_part_id>& parts,
                   bool own) -> void;
    // Counts a run of this daemon among those that a crash ended.
    auto blame_run(const local_run& ended, time_point seen_at) -> crash*;
    auto fail_trial(const local_run& ended, time_point now) -> void;
    // Clears the parts of a complete answer.
    auto clear_parts(const std::vector<prompt_part_id>& parts, time_point now)
        -> void;
    // Clears the parts of uncertain ends that were no crashes, as output of
    // another run on the same process shows.
    auto settle_uncertain_ends(const local_run& alive, time_point now) -> void;
    // Removes and returns the uncertain ends that fulfil a condition.
    auto take_uncertain_ends(
        const std::function<bool(const uncertain_end&)>& fulfils)
        -> std::vector<uncertain_end>;
    // Counts uncertain ends that a crash explains.
    auto explain_uncertain_ends(std::string_view runner,
                                std::string_view boot_id, time_point seen_at)
        -> void;
    [[nodiscard]] auto find_blamed() const -> judgement;
    // Returns whether other parts, or nothing, explain all crashes at which the
    // part was in flight.
    [[nodiscard]] auto is_unfounded(prompt_part_id part,
                                    const judgement& reached) const -> bool;
    auto update_marks(bool publish, time_point now) -> void;
    auto set_mark(prompt_part_id part, const mark& entry, bool publish,
                  time_point now) -> void;
    auto release(prompt_part_id part, bool publish) -> void;
    // Tells the others of suspected parts that this daemon knows as innocent.
    auto clear_suspects(const std::vector<prompt_part_id>& reported,
                        time_point now) -> void;
    // Returns how long this daemon waits for another one to clear a part. With
    // many daemons nearly all could, so the waits spread and the first
    // clearance ends the others (suppression as in SRM: Floyd et al., 1997).
    [[nodiscard]] auto clearance_delay(prompt_part_id part) const -> duration;
    auto send_due_clearances(time_point now) -> void;
    auto report_crashes(time_point now) -> void;
    auto expire(time_point now) -> void;

    prompt_quarantine_settings settings_;
    std::string self_;
    std::string arbiter_;
    std::optional<time_point> arbiter_since_;
    std::unordered_map<std::string, local_run> runs_;
    // In the order of their ends.
    std::vector<uncertain_end> uncertain_ends_;
    std::deque<crash> crashes_;
    // Parts of complete answers; the older set is dropped when the newer one is
    // full or old enough.
    std::unordered_set<prompt_part_id> innocent_;
    std::unordered_set<prompt_part_id> innocent_before_;
    time_point innocent_since_{};
    // Parts in `crashes_`, with the number of crashes.
    std::unordered_map<prompt_part_id, int> suspects_;
    std::map<prompt_part_id, mark> marks_;
    // Suspected parts that this daemon will clear unless another one does.
    std::map<prompt_part_id, time_point> pending_clearances_;
    std::size_t members_ = 0;
    bool judge_again_ = false;
    bool own_crash_added_ = false;
    std::vector<prompt_quarantine_event> events_;
    prompt_quarantine_statistics statistics_;
};

} // namespace basilstream::coordination
