/// Recognises requests that crash the runners that run them, and keeps them
/// from running again.
///
/// Each daemon holds one `quarantine`. What it learns goes to the others as
/// values: suspicions and clearances are gossiped over peers, marks go to the
/// log, isolation requests go to the arbiter.
///
///     const auto print = make_fingerprint("acme", "acme/chat", prompt);
///     switch (marks.check(print, now)) {
///     case quarantine_verdict::quarantined:  // refuse with refusal(print,
///     now) case quarantine_verdict::suspected:    // ask marks.arbiter() first
///     case quarantine_verdict::clear:        // dispatch
///     }
///     if (marks.on_dispatch({print, request_id, runner, boot_id}, now)) {
///         // send the attempt, and at its end:
///         marks.on_finish(request_id, true, now);
///     }
///
/// A fingerprint in flight on a crashed runner is suspected. While suspected
/// it runs only with a grant of the arbiter, one run at a time and no two
/// suspects on one runner. A second crash quarantines it for a while, after
/// which it is suspected again; a complete answer clears it. Call poll() at
/// least once a second. Not safe for concurrent use.
///
/// Where no arbiter is to be asked (`isolate_suspects_` off), suspects run like
/// others until their second crash: a request that shared one runner's crash
/// is repeated elsewhere at once.
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

/// Identifies equal requests, whoever sends them and through which daemon:
/// XXH3 with 128 bits over organisation, model and prompt or body.
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

/// Parses what fingerprint::to_string() returned.
[[nodiscard]] auto parse_fingerprint(std::string_view digits)
    -> std::optional<fingerprint>;

/// What may be done with a request.
enum class quarantine_verdict { clear, suspected, quarantined };

/// A run of a request on a runner.
struct fingerprint_run {
    fingerprint fingerprint_;
    std::string request_id_;
    std::string runner_;
    std::string boot_id_ = {};
};

/// A fingerprint was in flight on a runner that crashed. Gossiped.
struct suspicion {
    fingerprint fingerprint_;
    std::string runner_;
    std::string boot_id_;
    /// Time since the crash was seen.
    duration age_ = {};
    /// Whether the run was isolated, so that no other suspect ran there.
    bool isolated_ = false;
};

/// A suspected fingerprint gave a complete answer: the crashes listed were
/// not its doing. Gossiped.
struct clearance {
    fingerprint fingerprint_;
    std::vector<suspicion> crashes_;
};

/// A fingerprint is quarantined. Written to the log.
struct quarantine_mark {
    fingerprint fingerprint_;
    /// The crashed runners, for operators.
    std::vector<std::string> runners_;
    /// Whether it crashed a runner in isolation. If not, it may have shared
    /// two crashes with the culprit, and is tried in isolation after a while.
    bool confirmed_ = true;
};

/// Asks the arbiter for leave to run a suspected fingerprint, or renews it.
struct isolation_request {
    fingerprint_run run_;
    /// The daemon that asks.
    std::string holder_;
    /// What the holder knows, so that the arbiter knows no less.
    std::vector<suspicion> crashes_;
    /// Whether the run is in flight already.
    bool renewal_ = false;
};

/// Why the arbiter does not let a suspected fingerprint run now.
enum class isolation_refusal {
    not_arbiter,
    /// A new arbiter waits until it has heard of the runs in flight.
    taking_over,
    quarantined,
    /// An equal request is running.
    fingerprint_busy,
    /// Another suspect is running on this runner; another runner may do.
    runner_busy,
};

inline constexpr auto isolation_refusal_names =
    name_table<isolation_refusal, 5>{
        {{{isolation_refusal::not_arbiter, "not_arbiter"},
          {isolation_refusal::taking_over, "taking_over"},
          {isolation_refusal::quarantined, "quarantined"},
          {isolation_refusal::fingerprint_busy, "fingerprint_busy"},
          {isolation_refusal::runner_busy, "runner_busy"}}}};

/// The arbiter's answer: granted if there is no refusal.
struct isolation_answer {
    std::string request_id_;
    std::optional<isolation_refusal> refusal_ = {};
    /// When to ask again, if refused.
    milliseconds retry_after_{0};
};

/// Tells the arbiter that an isolated run ended.
struct isolation_release {
    std::string request_id_;
    /// Whether its runner crashed. Told here too, so that the arbiter cannot
    /// hear of the end before it hears of the crash.
    bool crashed_ = false;
};

/// What poll() asks the caller to carry out: gossip a suspicion or a
/// clearance, append a mark to the log, or send to arbiter().
using quarantine_event = std::variant<suspicion, clearance, quarantine_mark,
                                      isolation_request, isolation_release>;

/// A quarantined or suspected fingerprint as operators see it.
struct quarantine_entry {
    fingerprint fingerprint_;
    quarantine_verdict verdict_ = quarantine_verdict::clear;
    std::vector<std::string> runners_;
    duration remaining_ = {};
};

/// Settings of a quarantine.
struct quarantine_settings {
    /// How long a suspicion or a mark lasts.
    duration suspicion_lifetime_ = std::chrono::minutes{10};
    duration mark_lifetime_ = std::chrono::minutes{30};
    /// How long a mark lasts that is not confirmed by an isolated run.
    duration unconfirmed_lifetime_ = std::chrono::minutes{2};
    /// Suspicions and clearances are gossiped this often, so far apart.
    int announcement_count_ = 3;
    duration announcement_interval_ = seconds{1};
    /// Crashes of one runner closer than this are one crash seen twice.
    duration same_crash_window_ = seconds{15};
    /// How long a grant lasts without renewal; holders renew at a third.
    duration grant_lifetime_ = seconds{30};
    /// How long the arbiter waits for the holder's word on a granted run
    /// whose runner crashed, before it counts the crash.
    duration holder_report_timeout_ = seconds{3};
    /// How long a new arbiter waits for renewals before its first grant.
    duration takeover_delay_ = seconds{12};
    /// Whether a suspected request runs only with a grant of the arbiter.
    bool isolate_suspects_ = true;
    /// How long after a run was lost its runner may turn out to have crashed:
    /// until its announcement has lapsed, or it has announced its next start.
    duration crash_detection_window_ = seconds{6};
    /// Fingerprints remembered at most; the oldest suspicions go first.
    std::size_t capacity_ = 65'536;
    milliseconds retry_hint_{1000};
};

/// Checks by name. A test replaces one to show that its check can fail.
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

/// One daemon's knowledge of crashing requests.
class quarantine {
public:
    /// `self` is the daemon's name among the members.
    quarantine(quarantine_settings settings, std::string self,
               quarantine_guards guards = {});

    /// Takes in the members alive as this daemon sees them, itself included.
    auto set_members(const std::vector<std::string>& members, time_point now)
        -> void;
    /// Returns the member that grants isolated runs: the highest rendezvous
    /// weight among the members.
    [[nodiscard]] auto arbiter() const -> const std::string& {
        return arbiter_;
    }

    /// Returns what may be done with the fingerprint.
    [[nodiscard]] auto check(const fingerprint& print, time_point now) const
        -> quarantine_verdict;
    /// Returns the answer for a quarantined request: not_run, with a hint when
    /// the mark expires.
    [[nodiscard]] auto make_quarantined_error(const fingerprint& print,
                                              time_point now) const -> error;

    /// Builds what to send to arbiter() for a suspected fingerprint. If the
    /// arbiter is this daemon, pass it to on_isolation_request().
    [[nodiscard]] auto make_isolation_request(fingerprint_run run,
                                              time_point now) const
        -> isolation_request;
    /// As arbiter: decides on a run or takes in a renewal.
    [[nodiscard]] auto on_isolation_request(const isolation_request& request,
                                            time_point now) -> isolation_answer;
    /// Takes in the arbiter's answer. Without one the run is not granted. Ask
    /// and answer must be of one request id that is not used again.
    auto on_isolation_answer(const isolation_answer& answer, time_point now)
        -> void;
    /// Gives a grant back without a run. A grant that is not used soon is
    /// given back by poll().
    auto drop_grant(const std::string& request_id) -> void;
    /// As arbiter: takes in the end of a run.
    auto on_isolation_release(const isolation_release& release, time_point now)
        -> void;
    /// Turns a refusal into the caller's answer: not_run, with a hint.
    [[nodiscard]] static auto
    make_isolation_error(const isolation_answer& answer) -> error;

    /// Tells of a run of this daemon, before its first byte is sent. Returns
    /// whether it may be sent: a quarantined request may not, a suspected one
    /// only with a grant that is fresh.
    [[nodiscard]] auto on_dispatch(const fingerprint_run& run, time_point now)
        -> bool;
    /// Tells of the end of a run other than by a crash of its runner.
    /// `complete` if there was a whole answer.
    auto on_finish(std::string_view request_id, bool complete, time_point now)
        -> void;
    /// Tells that a run ended with its connection, before a whole answer. It
    /// counts as in flight for `crash_detection_window_`, as the crash of its
    /// runner may become known later.
    auto on_connection_lost(std::string_view request_id, time_point now)
        -> void;
    /// Tells that a runner crashed: its process went away or its boot id
    /// changed without its having left. Call it before the failure of the
    /// runs on it is acted on.
    auto on_crash(std::string_view runner, time_point now) -> void;

    /// Takes in what a peer gossiped.
    auto merge(const suspicion& received, time_point now) -> void;
    auto merge(const clearance& received, time_point now) -> void;
    /// Takes in a mark or an operator's lift read from the log.
    auto apply(const quarantine_mark& mark, time_point now) -> void;
    auto lift(const fingerprint& print, time_point now) -> void;

    /// Returns what to carry out, and drops what has expired.
    [[nodiscard]] auto poll(time_point now) -> std::vector<quarantine_event>;
    /// Returns all entries that are not clear.
    [[nodiscard]] auto list(time_point now) const
        -> std::vector<quarantine_entry>;

private:
    struct crash {
        std::string runner_;
        std::string boot_id_;
        time_point seen_at_;
        bool isolated_ = false;
        /// Cleared crashes are kept so that late gossip does not count anew.
        bool cleared_ = false;
    };
    struct record {
        std::vector<crash> crashes_;
        std::optional<time_point> marked_until_;
        std::vector<std::string> marked_runners_;
        bool confirmed_ = false;
    };
    struct grant {
        fingerprint_run run_;
        time_point expires_at_;
        /// When its runner crashed, until the holder has said how it ended.
        std::optional<time_point> crashed_at_ = {};
    };
    struct announcement {
        std::variant<suspicion, clearance> gossip_;
        time_point created_at_;
        time_point next_send_at_;
        int remaining_sends_ = 0;
    };
    struct local_run {
        fingerprint_run run_;
        bool isolated_ = false;
        time_point renewed_at_;
        // When it was lost, if it was.
        std::optional<time_point> lost_at_ = {};
    };

    auto is_same_crash(const crash& left, const crash& right) const -> bool;
    auto is_active(const crash& seen, time_point now) const -> bool;
    auto count_active_crashes(const record& entry, time_point now) const
        -> std::size_t;
    auto add_crash(const fingerprint& print, crash seen, time_point now)
        -> bool;
    auto on_local_crash(const fingerprint_run& run, bool isolated,
                        time_point now) -> void;
    auto announce(std::variant<suspicion, clearance> gossip, time_point now)
        -> void;
    auto repeat_announcements(time_point now) -> void;
    auto update_mark(const fingerprint& print, record& entry, bool announce,
                     time_point now) -> void;
    auto active_crashes(const fingerprint& print, time_point now) const
        -> std::vector<suspicion>;
    auto clear(const fingerprint& print, time_point now) -> void;
    auto retry_after(const fingerprint& print, time_point now) const
        -> std::optional<milliseconds>;
    auto release_isolation(const std::string& request_id, bool crashed) -> void;
    auto count_crash(const fingerprint_run& run, bool isolated, time_point seen,
                     time_point now) -> void;
    auto expire_grants(time_point now) -> void;
    auto find_refusal(const isolation_request& request, time_point now)
        -> std::optional<isolation_refusal>;
    auto renew_local_runs(time_point now) -> void;
    auto drop_oldest_suspicion() -> void;
    auto expire_lost_runs(time_point now) -> void;
    auto expire(time_point now) -> void;
    auto expire(record& entry, time_point now) const -> void;

    quarantine_settings settings_;
    std::string self_;
    quarantine_guards guards_;
    std::string arbiter_;
    bool members_known_ = false;
    time_point grants_allowed_from_{};
    std::map<fingerprint, record> records_;
    std::unordered_map<std::string, local_run> runs_;
    // As arbiter: the runs granted, by request id.
    std::map<std::string, grant> grants_;
    // Grants received and not used yet, with the time until which they may be.
    std::unordered_map<std::string, time_point> received_grants_;
    std::vector<announcement> announcements_;
    std::vector<quarantine_event> events_;
};

} // namespace basilstream::coordination
