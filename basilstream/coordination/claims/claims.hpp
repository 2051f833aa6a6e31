/// At most one run per (organisation, service, idempotency key), arbitrated by
/// the log streams `claims-0` .. `claims-(K-1)`. Each shard has one owner at a
/// time; the owner's epoch is the offset of its ownership record in that
/// stream. One `claim_service` per daemon plays both roles: dispatcher for the
/// requests that callers brought to it, owner for its shards.
///
///     auto claims = claim_service{settings, {"daemon-1", boot_id}};
///     claims.on_members({"daemon-1", "daemon-2"}, now);
///     claims.submit(request, now);
///     for (auto& output : claims.poll()) { /* append, send, dispatch ... */ }
///
/// Sans-I/O: no sockets, threads or wall clock. Not safe for concurrent use.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>
#include <vector>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/base/error/error.hpp"

namespace basilstream::coordination {

/// What is run at most once.
struct claim_key {
    std::string organisation_;
    std::string service_;
    /// The caller's Idempotency-Key.
    std::string key_;
    auto operator==(const claim_key&) const -> bool = default;
    /// Orders by organisation, service, key.
    [[nodiscard]] auto operator<(const claim_key& other) const -> bool {
        return std::tie(organisation_, service_, key_) <
               std::tie(other.organisation_, other.service_, other.key_);
    }
};

/// Hash of method, path and body; a repeat must carry the same one.
struct body_fingerprint {
    std::uint64_t high_ = 0;
    std::uint64_t low_ = 0;
    auto operator==(const body_fingerprint&) const -> bool = default;
};

/// Returns the fingerprint (XXH3, 128 bits) of a request.
[[nodiscard]] auto fingerprint_of(std::string_view method,
                                  std::string_view path, std::string_view body)
    -> body_fingerprint;

/// Returns the shard of `key`, in [0, `shard_count`).
[[nodiscard]] auto shard_of(const claim_key& key, std::uint32_t shard_count)
    -> std::uint32_t;

/// Returns the name of a shard's log stream.
[[nodiscard]] auto claim_stream_name(std::uint32_t shard) -> std::string;

/// A backend server's complete answer, as it is replayed to a repeat.
struct stored_answer {
    int status_ = 0;
    std::string content_type_ = {};
    std::string body_ = {};
    auto operator==(const stored_answer&) const -> bool = default;
};

/// A daemon in one of its lives: a restarted one has a new boot id.
struct daemon_identity {
    std::string name_;
    std::string boot_id_;
    auto operator==(const daemon_identity&) const -> bool = default;
};

// ---- records of a claim stream ---------------------------------------------

/// Takes a shard over; its own offset is then the new epoch. Valid only when
/// the writer had read everything of the previous owner: `previous_epoch_` is
/// the current epoch and `last_seen_` the offset of that epoch's last record.
/// So a lease cannot be cut short by a reader that lags.
struct ownership_record {
    std::string owner_;
    std::optional<std::uint64_t> previous_epoch_ = {};
    std::uint64_t last_seen_ = 0;
};

/// Extends the owner's lease; lets a reader of a truncated stream learn the
/// epoch.
struct renewal_record {
    std::string owner_;
    std::uint64_t epoch_ = 0;
    std::uint64_t sequence_ = 0;
    /// The writer's time since the Unix epoch; dates the records around it.
    duration written_at_{};
};

/// Gives a shard up, so that the next owner need not wait for the lease.
struct release_record {
    std::uint64_t epoch_ = 0;
};

/// Claims a key for the request `request_id_` of `dispatcher_`. The first
/// valid one at its offset wins.
struct claim_record {
    claim_key key_;
    body_fingerprint fingerprint_;
    std::string request_id_;
    daemon_identity dispatcher_;
    std::uint64_t epoch_ = 0;
};

/// The request that holds the key was answered. Without an answer, the answer
/// was too large to keep.
struct finish_record {
    claim_key key_;
    std::string request_id_;
    std::optional<stored_answer> answer_ = {};
    std::uint64_t epoch_ = 0;
};

/// The request that holds the key was never dispatched and never will be; the
/// key is free again.
struct abandon_record {
    claim_key key_;
    std::string request_id_;
    std::uint64_t epoch_ = 0;
};

/// State of one key, re-appended before the log's retention ends.
struct carried_claim {
    claim_record claim_;
    /// Offset of the claim's first record.
    std::uint64_t origin_ = 0;
    bool finished_ = false;
};

/// Re-appended entries. They replace any other entry of their keys that was
/// claimed below `built_at_`: a reader of a truncated stream may have taken a
/// late, invalid claim for the first one.
struct carry_record {
    std::vector<carried_claim> claims_;
    /// Offset up to which the writer had read.
    std::uint64_t built_at_ = 0;
    std::uint64_t epoch_ = 0;
};

/// Forgets every key that was claimed below `below_offset_`.
struct forget_record {
    std::uint64_t below_offset_ = 0;
    std::uint64_t epoch_ = 0;
};

/// A record kind that this version does not know; skipped by every reader.
struct unknown_claim_record {};

using claim_log_record =
    std::variant<unknown_claim_record, ownership_record, renewal_record,
                 release_record, claim_record, finish_record, abandon_record,
                 carry_record, forget_record>;

/// A record with its offset in the shard's stream.
struct claim_log_entry {
    std::uint64_t offset_ = 0;
    claim_log_record record_;
};

/// One answer to a read of a shard's stream.
struct claim_read {
    std::vector<claim_log_entry> entries_ = {};
    /// Oldest retained offset.
    std::uint64_t first_offset_ = 0;
    /// Offset after the last entry of the stream, not only of this read.
    std::uint64_t next_offset_ = 0;
};

/// Outcome of an append call. `unknown`: it may yet take effect.
enum class append_status { ok, refused, unknown };

// ---- messages between daemons ----------------------------------------------

/// Dispatcher to owner: claim this key for me. Idempotent by request id.
struct claim_request_message {
    claim_key key_;
    body_fingerprint fingerprint_;
    std::string request_id_;
    std::string boot_id_;
};

/// Owner to dispatcher: the claim is valid in the log.
struct claim_grant_message {
    std::string request_id_;
};

/// Owner to dispatcher: the request is answered otherwise.
struct claim_refusal_message {
    std::string request_id_;
    std::variant<error, stored_answer> answer_;
};

/// The receiver does not own the shard (now); try the owner again.
struct not_owner_message {
    std::string request_id_;
};

/// Dispatcher to owner: the end of a granted request. `dispatched_` false
/// means that no byte went out and none will.
struct claim_result_message {
    claim_key key_;
    std::string request_id_;
    bool dispatched_ = true;
    std::optional<stored_answer> answer_ = {};
};

/// Owner to dispatcher: the result is in the log.
struct result_stored_message {
    std::string request_id_;
};

/// Owner to dispatcher: what became of this request?
struct claim_query_message {
    claim_key key_;
    std::string request_id_;
    std::string boot_id_;
};

/// What a dispatcher knows about one of its requests. `never_dispatched` also
/// fences the request: a grant that arrives later is ignored.
enum class dispatch_state { never_dispatched, in_progress, finished, unknown };

/// Names of dispatch states, for logs.
inline constexpr auto dispatch_state_names = name_table<dispatch_state, 4>{
    {{{dispatch_state::never_dispatched, "never_dispatched"},
      {dispatch_state::in_progress, "in_progress"},
      {dispatch_state::finished, "finished"},
      {dispatch_state::unknown, "unknown"}}}};

/// Dispatcher to owner: answer to a query.
struct claim_state_message {
    claim_key key_;
    std::string request_id_;
    dispatch_state state_ = dispatch_state::unknown;
    std::optional<stored_answer> answer_ = {};
};

/// Owner to every member while the log is out of reach: do not take the shard
/// over for one lease, and say which epoch you know.
struct epoch_query_message {
    std::uint32_t shard_ = 0;
    std::uint64_t epoch_ = 0;
    std::uint64_t round_ = 0;
};

/// Answer to an epoch query; `newest_epoch_` is the newest the sender knows.
/// Promises count only while all sides agree on the members: otherwise a
/// daemon that was not asked may have taken the shard over.
struct epoch_promise_message {
    std::uint32_t shard_ = 0;
    std::uint64_t newest_epoch_ = 0;
    std::uint64_t round_ = 0;
    /// Hash of the sender's list of members.
    std::uint64_t members_digest_ = 0;
};

using claim_message = std::variant<claim_request_message, claim_grant_message,
                                   claim_refusal_message, not_owner_message,
                                   claim_result_message, result_stored_message,
                                   claim_query_message, claim_state_message,
                                   epoch_query_message, epoch_promise_message>;

// ---- outputs ---------------------------------------------------------------

/// Append these records in one call and report `on_append_result(ticket_)`.
struct append_output {
    std::uint32_t shard_ = 0;
    std::uint64_t ticket_ = 0;
    std::vector<claim_log_record> records_;
};

/// Read the shard's stream from `from_` on, endlessly (long poll), and feed
/// each answer to `on_read`.
struct follow_output {
    std::uint32_t shard_ = 0;
    std::uint64_t from_ = 0;
};

/// Stop reading the shard's stream.
struct unfollow_output {
    std::uint32_t shard_ = 0;
};

/// Send to the daemon called `peer_`. Loss is allowed.
struct send_output {
    std::string peer_;
    claim_message message_;
};

/// Permission to send the request to one backend server, once. Given at most
/// once for a request id. Must be followed by `finish`, `lose` or `abandon`.
struct dispatch_output {
    std::string request_id_;
};

/// The caller's final answer, without dispatch by this daemon.
struct answer_output {
    std::string request_id_;
    std::variant<error, stored_answer> answer_;
};

using claim_output = std::variant<append_output, follow_output, unfollow_output,
                                  send_output, dispatch_output, answer_output>;

// ---- the service -----------------------------------------------------------

/// Limits and periods.
struct claim_settings {
    std::uint32_t shard_count_ = 4;
    /// An owner silent in the stream for this long may be replaced.
    duration lease_ = seconds{4};
    duration renew_interval_ = seconds{1};
    /// A daemon that left the list of members still has to promise for this
    /// long: it may be alive and cut off from the others only.
    duration departed_memory_ = seconds{60};
    /// Least time between two append calls of one shard.
    duration append_interval_ = milliseconds{20};
    /// How long a result may wait for a claim to share its append call.
    duration result_linger_ = milliseconds{200};
    /// An append call without an answer for this long counts as unknown.
    duration append_timeout_ = seconds{2};
    /// Pause between two forwards of one request.
    duration forward_interval_ = milliseconds{300};
    /// A request that no owner answered for this long is refused.
    duration forward_timeout_ = seconds{6};
    /// How long a repeat waits for word from the first dispatcher.
    duration query_timeout_ = milliseconds{500};
    duration result_resend_interval_ = seconds{1};
    /// How long a dispatcher answers for its ended requests.
    duration dispatcher_memory_ = seconds{600};
    duration answer_window_ = seconds{600};
    /// How long a key is remembered at least.
    duration key_window_ = std::chrono::hours{24};
    /// Entries whose last record is older are re-appended; at most half of
    /// the log's retention.
    duration carry_age_ = std::chrono::hours{6};
    /// Added to a time point it gives the time since the Unix epoch. Only
    /// used to estimate the age of records that a former owner wrote; a skew
    /// of seconds is harmless.
    duration unix_offset_{};
    std::size_t max_answer_bytes_ = std::size_t{64} * 1024;
    std::size_t max_stored_bytes_ = std::size_t{16} * 1024 * 1024;
    std::size_t max_pending_per_shard_ = 4096;
    std::size_t max_batch_records_ = 512;
    /// An append call ends with the record that passes this size.
    std::size_t max_batch_bytes_ = std::size_t{512} * 1024;
    milliseconds retry_hint_ = milliseconds{1000};
};

/// Protections that tests switch off to show that each one is needed.
class claim_guards {
public:
    claim_guards() = default;
    claim_guards(const claim_guards&) = default;
    auto operator=(const claim_guards&) -> claim_guards& = default;
    virtual ~claim_guards() = default;
    /// Grants only after the claim was read back as the first valid one.
    [[nodiscard]] virtual auto read_back() const -> bool { return true; }
    /// Takes a shard over only from an owner whose last record was seen.
    [[nodiscard]] virtual auto compare_last_seen() const -> bool {
        return true;
    }
    /// Gives permission at most once for a request id.
    [[nodiscard]] virtual auto permit_once() const -> bool { return true; }
    /// Refuses late grants once `never_dispatched` has been said.
    [[nodiscard]] virtual auto fence_late_grants() const -> bool {
        return true;
    }
    /// Treats an unresolved claim of a silent dispatcher as outcome unknown.
    [[nodiscard]] virtual auto unresolved_is_unknown() const -> bool {
        return true;
    }
    /// Says `not_run` for an unseen key only under a confirmed ownership.
    [[nodiscard]] virtual auto confirm_ownership() const -> bool {
        return true;
    }
    /// Keeps finished keys after their answers are gone.
    [[nodiscard]] virtual auto keep_finished_keys() const -> bool {
        return true;
    }
    /// Compares fingerprints of repeats.
    [[nodiscard]] virtual auto compare_fingerprints() const -> bool {
        return true;
    }
    /// Re-appends entries before retention drops them.
    [[nodiscard]] virtual auto carry_entries() const -> bool { return true; }
};

/// A caller's request under an idempotency key.
struct claim_submission {
    claim_key key_;
    body_fingerprint fingerprint_;
    /// Unique over all daemons and time.
    std::string request_id_;
    time_point deadline_;
};

/// Counters for metrics and tests.
struct claim_statistics {
    std::uint64_t appends_ = 0;
    std::uint64_t records_ = 0;
    std::uint64_t messages_ = 0;
    std::uint64_t permissions_ = 0;
    std::uint64_t invalid_records_ = 0;
    std::uint64_t takeovers_ = 0;
    std::size_t shards_owned_ = 0;
    std::size_t keys_ = 0;
    std::size_t stored_bytes_ = 0;
};

/// The claim logic of one daemon.
class claim_service {
public:
    /// `guards` must outlive the service; null means all of them on.
    claim_service(claim_settings settings, daemon_identity self,
                  const claim_guards* guards = nullptr);
    claim_service(const claim_service&) = delete;
    auto operator=(const claim_service&) -> claim_service& = delete;
    ~claim_service();

    /// Sets the daemons that may own shards (`self` included unless it is
    /// draining). Shards are spread over them by rendezvous hashing; the second
    /// in the order follows the shard's stream too and takes over without
    /// reading it anew.
    auto on_members(std::vector<std::string> members, time_point now) -> void;
    /// Takes a caller's request. Its end is one `dispatch_output` or one
    /// `answer_output`.
    auto submit(claim_submission submission, time_point now) -> void;
    /// The permitted request was answered completely by the backend server.
    auto finish(const std::string& request_id, stored_answer answer,
                time_point now) -> void;
    /// The permitted request was dispatched and its outcome is unknown.
    auto lose(const std::string& request_id, time_point now) -> void;
    /// The permitted request was not dispatched (no byte sent) and never will
    /// be; the key becomes free. The caller may be told `not_run`.
    auto abandon(const std::string& request_id, time_point now) -> void;
    /// The caller left before permission. Returns false when permission was
    /// already given: the request then goes on.
    auto cancel(const std::string& request_id, time_point now) -> bool;
    auto on_message(const std::string& peer, claim_message message,
                    time_point now) -> void;
    /// An answer to a read. A long poll that ran out is one without entries. A
    /// position below the retained head is one without entries whose
    /// `first_offset_` lies above it; a `follow_output` then moves on.
    auto on_read(std::uint32_t shard, const claim_read& read, time_point now)
        -> void;
    /// A read failed: the log is out of reach until the next `on_read`.
    auto on_read_failed(std::uint32_t shard, time_point now) -> void;
    auto on_append_result(std::uint32_t shard, std::uint64_t ticket,
                          append_status status, time_point now) -> void;
    /// Advances timers; call at least every 20 ms, and after a pause.
    auto tick(time_point now) -> void;
    /// Hands every shard over; see `idle`.
    auto release_all(time_point now) -> void;
    /// True when no shard is owned and no result waits to be stored.
    [[nodiscard]] auto idle() const -> bool;
    /// Takes the outputs since the last call, in order.
    [[nodiscard]] auto poll() -> std::vector<claim_output>;
    [[nodiscard]] auto statistics() const -> claim_statistics;
    [[nodiscard]] auto owns(std::uint32_t shard) const -> bool;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace basilstream::coordination
