/// Detects requests that crash the runners that execute them ("queries of
/// death") and keeps them from being executed again.
///
/// Each daemon holds one `quarantine`. The daemons share what they know:
/// suspicions and clearances are gossiped to the peers, quarantine marks are
/// appended to the log, and isolation requests are sent to the arbiter. Marks
/// must be kept in a log that outlasts the daemons.
///
///     const auto print = make_fingerprint("acme", "acme/chat", prompt);
///     switch (quarantine.check(print, now)) {
///     case quarantine_verdict::quarantined:
///         // refuse with make_quarantined_error(print, now)
///     case quarantine_verdict::suspected:
///         // request a grant from quarantine.arbiter() first
///     case quarantine_verdict::clear:
///         // dispatch
///     }
///     if (quarantine.on_dispatch({print, request_id, runner, boot_id}, now)) {
///         // send the attempt; when it has ended:
///         quarantine.on_finish(request_id, true, now);
///     }
///
/// A fingerprint that was in flight on a crashed runner becomes suspected. A
/// suspected fingerprint (a suspect) runs only with a grant of the arbiter ("in
/// isolation"): at most one run of it at a time, and no other suspect on the
/// same runner. A second crash quarantines the fingerprint; when the quarantine
/// mark expires, the fingerprint is suspected again. A complete answer clears a
/// suspect. Call poll() at least once a second.
/// Not safe for concurrent use.
///
/// With `isolate_suspects_` off no arbiter is asked, and suspected requests run
/// like others until their second crash. A request that was merely in flight
/// during another request's crash can then be retried elsewhere at once. When a
/// mark expires, the request goes on trial: only the arbiter sends it, one run
/// at a time. A crash renews the mark for a longer time, a complete answer
/// removes it.
///
/// With `count_lost_connections_` a lost connection counts as a possible crash
/// at once, because the crash of a runner becomes known seconds later, or never
/// if the list of runners cannot be read. A request then is also quarantined
/// when its connections to three runner processes were lost, or four
/// connections at all, and no run was complete.
///
/// Crashes at nearly the same time count as one if their runs were in flight
/// side by side: a loss of power or network ends many runners at once, and a
/// request that many callers send may be in flight on each of them. A run that
/// began after the first crash counts for itself, as it may repeat a request
/// that crashes runners within some ms.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/base/error/error.hpp"
#include "basilstream/base/name_table/name_table.hpp"

namespace basilstream::coordination {

/// Identifies equal requests independently of the sender and the daemon:
/// 128-bit XXH3 hash of organisation, model and prompt or body.
struct fingerprint {
    std::uint64_t high_ = 0;
    std::uint64_t low_ = 0;
    auto operator==(const fingerprint&) const -> bool = default;
    [[nodiscard]] auto operator<(const fingerprint& other) const -> bool {
        return high_ != other.high_ ? high_ < other.high_ : low_ < other.low_;
    }
    /// Returns 32 hexadecimal digits.
    [[nodiscard]] auto to_string() const -> std::string;
};

/// Returns the fingerprint of a request.
[[nodiscard]] auto make_fingerprint(std::string_view organisation,
                                    std::string_view model,
                                    std::string_view body) -> fingerprint;

/// Parses the format of fingerprint::to_string(); nullopt if malformed.
[[nodiscard]] auto parse_fingerprint(std::string_view digits)
    -> std::optional<fingerprint>;

/// State of a fingerprint: `clear` may run, `suspected` needs a grant of the
/// arbiter (if suspects are isolated), `quarantined` must not run.
enum class quarantine_verdict { clear, suspected, quarantined };

/// One execution of a request on a runner. `boot_id_` identifies the start of
/// the runner's process; empty if unknown.
struct fingerprint_run {
    fingerprint fingerprint_;
    std::string request_id_;
    std::string runner_;
    std::string boot_id_ = {};
};

/// What a crash was concluded from.
enum class crash_evidence {
    /// The connection ended before the answer was complete. The runner may have
    /// survived.
    connection_lost,
    /// The runner's process disappeared or started anew.
    runner_gone,
};

/// Reports that a fingerprint was in flight on a runner that crashed. Gossiped.
struct suspicion {
    fingerprint fingerprint_;
    std::string runner_;
    std::string boot_id_;
    /// Time since the crash was detected.
    duration age_ = {};
    /// Whether the run was isolated, so that no other suspect was running on
    /// the runner.
    bool isolated_ = false;
    /// How long the run had lasted when the crash was detected; absent if not
    /// known.
    std::optional<duration> ran_for_ = {};
    crash_evidence evidence_ = crash_evidence::runner_gone;
    /// Identifies the run among those of all daemons; empty if not known.
    std::string run_id_ = {};
};

/// Reports that a suspected fingerprint got a complete answer and so did not
/// cause the listed crashes. Gossiped.
struct clearance {
    fingerprint fingerprint_;
    std::vector<suspicion> crashes_;
};

/// Quarantines a fingerprint. Appended to the log.
struct quarantine_mark {
    fingerprint fingerprint_;
    /// The crashed runners, for operators.
    std::vector<std::string> runners_;
    /// Whether the fingerprint crashed a runner in isolation. If false, another
    /// request may have caused both crashes; the mark then expires early and
    /// the fingerprint is run in isolation.
    bool confirmed_ = true;
    /// Time since the mark was set.
    duration age_ = {};
    /// Number of trials that crashed a runner; see `isolate_suspects_`.
    int failed_trials_ = 0;
};

/// Removes the mark of a fingerprint from the log.
struct quarantine_release {
    fingerprint fingerprint_;
};

/// Asks the arbiter for a grant to run a suspected fingerprint, or renews one.
struct isolation_request {
    fingerprint_run run_;
    /// Name of the requesting daemon.
    std::string holder_;
    /// The active suspicions known to the holder. The arbiter merges them, so
    /// that it does not decide with less information than the holder has.
    std::vector<suspicion> crashes_;
    /// Whether the run is already in flight.
    bool renewal_ = false;
};

/// Why the arbiter refuses to let a suspected fingerprint run now.
enum class isolation_refusal {
    not_arbiter,
    /// A new arbiter issues no grants until the runs in flight had time to be
    /// renewed.
    taking_over,
    quarantined,
    /// A request with the same fingerprint is running.
    fingerprint_busy,
    /// Another suspect is running on this runner; a different runner may be
    /// free.
    runner_busy,
};

inline constexpr auto isolation_refusal_names =
    name_table<isolation_refusal, 5>{
        {{{isolation_refusal::not_arbiter, "not_arbiter"},
          {isolation_refusal::taking_over, "taking_over"},
          {isolation_refusal::quarantined, "quarantined"},
          {isolation_refusal::fingerprint_busy, "fingerprint_busy"},
          {isolation_refusal::runner_busy, "runner_busy"}}}};

/// The arbiter's answer; an absent `refusal_` means that the run is granted.
struct isolation_answer {
    std::string request_id_;
    std::optional<isolation_refusal> refusal_ = {};
    /// If refused, the time after which to ask again.
    milliseconds retry_after_{0};
};

/// Reports the end of an isolated run to the arbiter.
struct isolation_release {
    std::string request_id_;
    /// Whether the runner crashed. Also gossiped as a suspicion; repeated here
    /// so that the arbiter cannot learn of the end before the crash.
    bool crashed_ = false;
};

/// Action that poll() asks the caller to perform: gossip a suspicion or a
/// clearance, append a mark to the log or remove it, or send an isolation
/// request or release to arbiter().
using quarantine_event =
    std::variant<suspicion, clearance, quarantine_mark, quarantine_release,
                 isolation_request, isolation_release>;

/// Status of a quarantined or suspected fingerprint, for operators.
struct quarantine_entry {
    fingerprint fingerprint_;
    quarantine_verdict verdict_ = quarantine_verdict::clear;
    /// The crashed runners; for a suspected fingerprint only the last one.
    std::vector<std::string> runners_;
    /// Time until the mark or the last suspicion expires.
    duration remaining_ = {};
};

/// Settings of a quarantine.
struct quarantine_settings {
    duration suspicion_lifetime_ = std::chrono::minutes{10};
    /// Lifetime of a mark that an isolated run has confirmed.
    duration mark_lifetime_ = std::chrono::minutes{30};
    /// Lifetime of a mark that no isolated run has confirmed.
    duration unconfirmed_lifetime_ = std::chrono::minutes{2};
    /// Without `isolate_suspects_`: factor by which each failed trial extends
    /// the lifetime of the mark, and its limit. Three trials fail within a day.
    int trial_backoff_factor_ = 15;
    duration max_mark_lifetime_ = std::chrono::hours{24};
    /// How long an expired mark is kept for a trial.
    duration trial_retention_ = std::chrono::hours{24};
    /// How many times each suspicion and clearance is gossiped.
    int announcement_count_ = 3;
    /// Time between two of these transmissions.
    duration announcement_interval_ = seconds{1};
    /// Two crash reports for one runner that are less than this apart count as
    /// one crash if it is not known when one of the runs began. Otherwise they
    /// do if the runs overlapped in time.
    duration same_crash_window_ = seconds{15};
    /// Lease of a grant. Holders renew it after a third of this time.
    duration grant_lifetime_ = seconds{30};
    /// How long the arbiter waits for the holder to report the end of a granted
    /// run whose runner crashed, before it counts the crash itself.
    duration holder_report_timeout_ = seconds{3};
    /// How long a new arbiter waits for renewals before it issues grants.
    duration takeover_delay_ = seconds{12};
    /// Whether a suspected request runs only with a grant of the arbiter.
    bool isolate_suspects_ = true;
    /// Whether a lost connection counts as a possible crash of the runner.
    bool count_lost_connections_ = false;
    /// Crashes of runs side by side count as one at a smaller distance; zero
    /// counts each.
    duration coincidence_{0};
    /// How long a run still counts as in flight after its connection was lost.
    /// A crash of its runner is detected later than the loss: when the runner's
    /// announcement expires or the runner announces its next start.
    duration crash_detection_window_ = seconds{6};
    /// Maximum number of fingerprints kept. At the limit, the fingerprint with
    /// the oldest suspicion is evicted; marked ones are kept.
    std::size_t capacity_ = 65'536;
    /// Time after which to ask again, if no better estimate is known.
    milliseconds retry_hint_{1000};
};

/// Conditions under which the arbiter refuses a grant; `granted` says whether a
/// conflicting grant exists. deployment_test.cpp disables one condition at a
/// time to show that its simulation detects the missing check.
struct quarantine_guards {
    bool (*fingerprint_busy_)(bool granted) = [](bool granted) {
        return granted;
    };
    bool (*runner_busy_)(bool granted) = [](bool granted) {
        return granted;
    };
    bool (*taking_over_)(time_point now, time_point until) =
        [](time_point now, time_point until) {
            return now < until;
        };
};

/// Counters of a quarantine, for metrics.
struct quarantine_statistics {
    /// Runs that were refused.
    std::uint64_t refusals_ = 0;
    /// Runs whose connection was lost, and those of them that expired before a
    /// crash of their runner was detected.
    std::uint64_t lost_runs_ = 0;
    std::uint64_t expired_runs_ = 0;
    /// Crashes of runners that were counted for a fingerprint, and reports of
    /// a crash that was already counted.
    std::uint64_t crashes_ = 0;
    std::uint64_t duplicate_crashes_ = 0;
    std::uint64_t clearances_ = 0;
    /// Marks set, and runs sent after a mark had expired.
    std::uint64_t marks_ = 0;
    std::uint64_t trials_ = 0;
};

/// Tracks suspected and quarantined fingerprints for one daemon, and grants
/// isolated runs while that daemon is the arbiter.
class quarantine {
public:
    /// `self` is the name of this daemon in the list of members.
    quarantine(quarantine_settings settings, std::string self,
               quarantine_guards guards = {});

    /// Sets the live members in this daemon's view, itself included, and elects
    /// the arbiter among them.
    auto set_members(const std::vector<std::string>& members, time_point now)
        -> void;
    /// Returns the member that grants isolated runs: the one with the highest
    /// random weight (rendezvous hashing).
    [[nodiscard]] auto arbiter() const -> const std::string& {
        return arbiter_;
    }

    [[nodiscard]] auto check(const fingerprint& print, time_point now) const
        -> quarantine_verdict;
    /// Returns the error for a quarantined request: not_run, to be retried when
    /// the mark expires.
    [[nodiscard]] auto make_quarantined_error(const fingerprint& print,
                                              time_point now) const -> error;

    /// Returns the request to send to arbiter() before a suspected fingerprint
    /// is run. If this daemon is the arbiter, pass it to
    /// on_isolation_request().
    [[nodiscard]] auto make_isolation_request(fingerprint_run run,
                                              time_point now) const
        -> isolation_request;
    /// Arbiter only: grants or refuses a run, or records a renewal.
    [[nodiscard]] auto on_isolation_request(const isolation_request& request,
                                            time_point now) -> isolation_answer;
    /// Records the arbiter's answer; without one the run is not granted. A
    /// request id must be used for one isolation request only.
    auto on_isolation_answer(const isolation_answer& answer, time_point now)
        -> void;
    /// Releases an unused grant. poll() releases grants that are not used
    /// within a third of `grant_lifetime_`.
    auto drop_grant(const std::string& request_id) -> void;
    /// Arbiter only: records the end of a granted run.
    auto on_isolation_release(const isolation_release& release, time_point now)
        -> void;
    /// Returns the caller's error for a refused grant: not_run, to be retried
    /// after the time in the answer.
    [[nodiscard]] static auto
    make_isolation_error(const isolation_answer& answer) -> error;

    /// Records a run of this daemon; call it before the first byte is sent.
    /// Returns false if the request must not be sent: it is quarantined, or it
    /// is suspected, has no valid grant and `isolate_suspects_` is set.
    [[nodiscard]] auto on_dispatch(const fingerprint_run& run, time_point now)
        -> bool;
    /// Records the end of a run other than by a crash of its runner. `complete`
    /// says whether the answer was complete.
    auto on_finish(std::string_view request_id, bool complete, time_point now)
        -> void;
    /// Records that the connection of a run was lost before a complete answer.
    /// The run counts as in flight for `crash_detection_window_`, because a
    /// crash of its runner may be detected later; on_finish() is then ignored.
    auto on_connection_lost(std::string_view request_id, time_point now)
        -> void;
    /// Records that a run was cancelled while its runner was silent, which a
    /// crashed runner may be. The run counts as in flight for
    /// `crash_detection_window_`.
    auto on_cancelled(std::string_view request_id, time_point now) -> void;
    /// Records a crash of a runner: its process disappeared or its boot id
    /// changed without a regular departure. Call it before the failed runs on
    /// the runner are handled (retried, for example). With
    /// `count_lost_connections_` a run in flight counts only once its
    /// connection is lost, as a runner may leave the list and still answer.
    /// Returns the number of runs that were on the runner.
    auto on_crash(std::string_view runner, time_point now) -> std::size_t;

    /// Merges a suspicion or a clearance received from a peer. Returns whether
    /// the suspicion is of a crash that was not known.
    auto merge(const suspicion& received, time_point now) -> bool;
    auto merge(const clearance& received, time_point now) -> void;
    /// Applies a mark, or its removal by an operator, read from the log.
    auto apply(const quarantine_mark& mark, time_point now) -> void;
    auto lift(const fingerprint& print, time_point now) -> void;

    /// Removes expired state and returns the actions that are due.
    [[nodiscard]] auto poll(time_point now) -> std::vector<quarantine_event>;
    /// Returns all suspected and quarantined fingerprints.
    [[nodiscard]] auto list(time_point now) const
        -> std::vector<quarantine_entry>;
    [[nodiscard]] auto statistics() const -> const quarantine_statistics& {
        return statistics_;
    }

private:
    struct crash {
        std::string runner_;
        std::string boot_id_;
        time_point seen_at_;
        bool isolated_ = false;
        /// When the run that ended with the crash began.
        std::optional<time_point> run_started_at_ = {};
        crash_evidence evidence_ = crash_evidence::runner_gone;
        std::string run_id_ = {};
        /// Cleared crashes are kept, so that late gossip about them does not
        /// raise a new suspicion.
        bool cleared_ = false;
    };
    struct record {
        std::vector<crash> crashes_;
        /// When the quarantine mark expires; absent if there is none.
        std::optional<time_point> marked_until_;
        /// The crashed runners named in the mark.
        std::vector<std::string> marked_runners_;
        /// Whether the mark was confirmed by a crash in isolation.
        bool confirmed_ = false;
        int failed_trials_ = 0;
    };
    struct grant {
        fingerprint_run run_;
        time_point expires_at_;
        /// When the runner crashed; absent if it has not. The grant is then
        /// kept until the holder reports the end or the report times out.
        std::optional<time_point> crashed_at_ = {};
    };
    struct announcement {
        std::variant<suspicion, clearance> gossip_;
        /// The ages in `gossip_` are relative to this time.
        time_point created_at_;
        time_point next_send_at_;
        int remaining_sends_ = 0;
    };
    struct local_run {
        fingerprint_run run_;
        bool isolated_ = false;
        time_point started_at_;
        // When the grant was last renewed; only used for isolated runs.
        time_point renewed_at_;
        // When the connection was lost, or the silent run cancelled; absent if
        // neither was.
        std::optional<time_point> lost_at_ = {};
        // Whether the runner has disappeared, according to the list of runners,
        // while the connection was up.
        bool runner_gone_ = false;
    };

    auto is_same_crash(const crash& left, const crash& right) const -> bool;
    static auto make_crash(const suspicion& received, time_point now) -> crash;
    static auto make_suspicion(const fingerprint& print, const crash& observed,
                               time_point now) -> suspicion;
    auto is_active(const crash& observed, time_point now) const -> bool;
    auto count_active_crashes(const record& entry, time_point now) const
        -> std::size_t;
    // Returns whether two crashes ended runs that were in flight side by side,
    // at nearly the same time.
    [[nodiscard]] auto coincide(const crash& earlier, const crash& later) const
        -> bool;
    // Returns the active crashes in the order of time, those that coincide in
    // one group.
    [[nodiscard]] auto group_active_crashes(const record& entry,
                                            time_point now) const
        -> std::vector<std::vector<const crash*>>;
    // Returns whether the active crashes justify a mark.
    auto has_crashed_enough(const record& entry, time_point now) const -> bool;
    // Returns the crash that ended a run of this daemon.
    static auto make_crash(const local_run& ended, crash_evidence evidence,
                           time_point seen_at) -> crash;
    auto add_crash(const fingerprint& print, crash observed, time_point now)
        -> bool;
    auto announce(std::variant<suspicion, clearance> gossip, time_point now)
        -> void;
    auto repeat_announcements(time_point now) -> void;
    // Sets or renews the mark if the crashes justify it. `seen_at` is the time
    // of the crash that was added.
    auto update_mark(const fingerprint& print, record& entry,
                     time_point seen_at, bool append_to_log, time_point now)
        -> void;
    // Returns whether the mark has expired and the request waits for a trial.
    auto is_on_trial(const record& entry, time_point now) const -> bool;
    // Returns whether this daemon may send the request of an expired mark.
    auto may_try(const fingerprint& print, time_point now) const -> bool;
    auto mark_lifetime(const record& entry) const -> duration;
    auto active_crashes(const fingerprint& print, time_point now) const
        -> std::vector<suspicion>;
    auto clear(const fingerprint& print, time_point now) -> void;
    auto retry_after(const fingerprint& print, time_point now) const
        -> std::optional<milliseconds>;
    auto release_isolation(const std::string& request_id, bool crashed) -> void;
    auto record_crash(const fingerprint_run& run, crash observed,
                      time_point now) -> void;
    // Returns the crash of a granted run, as the arbiter knows it.
    static auto make_isolated_crash(const fingerprint_run& run,
                                    time_point seen_at) -> crash;
    auto expire_grants(time_point now) -> void;
    auto find_refusal(const isolation_request& request, time_point now)
        -> std::optional<isolation_refusal>;
    auto renew_local_runs(time_point now) -> void;
    auto evict_oldest_suspect() -> void;
    auto expire_lost_runs(time_point now) -> void;
    auto expire(time_point now) -> void;
    auto expire(record& entry, time_point now) const -> void;

    quarantine_settings settings_;
    std::string self_;
    quarantine_guards guards_;
    std::string arbiter_;
    bool has_members_ = false;
    // Arbiter only: end of the takeover delay.
    time_point grants_allowed_from_{};
    std::map<fingerprint, record> records_;
    time_point next_record_expiry_{};
    // Runs of this daemon in flight, by request id.
    std::unordered_map<std::string, local_run> runs_;
    // Arbiter only: granted runs by request id.
    std::map<std::string, grant> grants_;
    // Unused grants by request id, with the time at which they expire.
    std::unordered_map<std::string, time_point> received_grants_;
    std::vector<announcement> announcements_;
    std::vector<quarantine_event> events_;
    quarantine_statistics statistics_;
};

} // namespace basilstream::coordination
