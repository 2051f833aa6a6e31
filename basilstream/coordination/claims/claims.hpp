/// Guarantees at most one run per (organisation, service, idempotency key).
/// Claims are sharded; the log streams `claims-0` .. `claims-(K-1)` decide
/// which request holds a key. Each shard has one owner at a time, under a
/// lease; the owner's epoch is the offset of its ownership record in the
/// stream. The `claim_service` of a daemon has two roles: dispatcher of the
/// requests that callers sent to this daemon, and owner of the shards assigned
/// to it.
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

/// Identifies a request and its repeats, of which at most one is run.
struct claim_key {
    std::string organisation_;
    std::string service_;
    /// Value of the caller's Idempotency-Key header.
    std::string key_;
    auto operator==(const claim_key&) const -> bool = default;
    /// Orders by organisation, service, key.
    [[nodiscard]] auto operator<(const claim_key& other) const -> bool {
        return std::tie(organisation_, service_, key_) <
               std::tie(other.organisation_, other.service_, other.key_);
    }
};

/// Hash of method, path and body. A repeat with another fingerprint is refused.
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

/// A backend server's complete answer, stored for replay to repeats.
struct stored_answer {
    int status_ = 0;
    std::string content_type_ = {};
    std::string body_ = {};
    auto operator==(const stored_answer&) const -> bool = default;
};

/// One incarnation of a daemon; a restart changes the boot id.
struct daemon_identity {
    std::string name_;
    std::string boot_id_;
    auto operator==(const daemon_identity&) const -> bool = default;
};

// ---- records of a claim stream ---------------------------------------------

/// Takes over a shard; the offset of this record becomes the new epoch. Valid
/// only if the writer had read every record of the previous owner, that is,
/// `previous_epoch_` is the current epoch and `last_seen_` the offset of that
/// epoch's last record. This prevents a reader that lags behind the stream from
/// taking over a shard whose lease was renewed.
struct ownership_record {
    std::string owner_;
    /// Absent if the shard never had an owner.
    std::optional<std::uint64_t> previous_epoch_ = {};
    std::uint64_t last_seen_ = 0;
};

/// Extends the owner's lease. Readers of a truncated stream learn the current
/// epoch from it.
struct renewal_record {
    std::string owner_;
    std::uint64_t epoch_ = 0;
    std::uint64_t sequence_ = 0;
    /// The writer's time since the Unix epoch, from which readers estimate the
    /// age of the neighbouring records.
    duration written_at_{};
};

/// Releases a shard, so that the next owner need not wait for lease expiry.
struct release_record {
    std::uint64_t epoch_ = 0;
};

/// Claims a key for the request `request_id_` of `dispatcher_`. The valid claim
/// with the lowest offset wins.
struct claim_record {
    claim_key key_;
    body_fingerprint fingerprint_;
    std::string request_id_;
    daemon_identity dispatcher_;
    std::uint64_t epoch_ = 0;
};

/// Records that the request that holds the key was answered. `answer_` is
/// absent if the answer was too large to be stored or already evicted by the
/// dispatcher.
struct finish_record {
    claim_key key_;
    std::string request_id_;
    std::optional<stored_answer> answer_ = {};
    std::uint64_t epoch_ = 0;
};

/// Records that the request that holds the key was not dispatched and never
/// will be; the key can be claimed again.
struct abandon_record {
    claim_key key_;
    std::string request_id_;
    std::uint64_t epoch_ = 0;
};

/// State of one key, as re-appended before the log's retention drops it.
struct carried_claim {
    claim_record claim_;
    /// Offset of the claim's first record.
    std::uint64_t origin_ = 0;
    bool finished_ = false;
};

/// Re-appends entries. A carried claim overrides the claim of another request
/// that a reader holds for the same key, if that claim's offset is below
/// `built_at_`: a reader of a truncated stream may have accepted a late,
/// invalid claim as the first one.
struct carry_record {
    std::vector<carried_claim> claims_;
    /// The writer had read the records below this offset.
    std::uint64_t built_at_ = 0;
    std::uint64_t epoch_ = 0;
};

/// Removes every key that was claimed below `below_offset_`.
struct forget_record {
    std::uint64_t below_offset_ = 0;
    std::uint64_t epoch_ = 0;
};

/// A record of a type that this version does not know; readers skip it.
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

/// Result of one read of a shard's stream.
struct claim_read {
    std::vector<claim_log_entry> entries_ = {};
    /// Lowest offset that the log still retains.
    std::uint64_t first_offset_ = 0;
    /// Offset after the last entry of the stream (not of this read).
    std::uint64_t next_offset_ = 0;
};

/// Outcome of an append call. After `unknown` the records may still be appended
/// later.
enum class append_status { ok, refused, unknown };

// ---- messages between daemons ----------------------------------------------

/// Dispatcher to owner: asks for a claim of the key. Idempotent by request id.
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

/// Owner to dispatcher: the request must not be dispatched; `answer_` is the
/// caller's answer.
struct claim_refusal_message {
    std::string request_id_;
    std::variant<error, stored_answer> answer_;
};

/// Owner to dispatcher: the sender does not own the shard at present; the
/// dispatcher should forward the request again.
struct not_owner_message {
    std::string request_id_;
};

/// Dispatcher to owner: the end of a granted request. `dispatched_` is false if
/// no byte was sent to a backend server and none will be.
struct claim_result_message {
    claim_key key_;
    std::string request_id_;
    bool dispatched_ = true;
    std::optional<stored_answer> answer_ = {};
};

/// Owner to dispatcher: the result is stored in the log or needs no storing.
struct result_stored_message {
    std::string request_id_;
};

/// Owner to dispatcher: asks for the state of the request.
struct claim_query_message {
    claim_key key_;
    std::string request_id_;
    std::string boot_id_;
};

/// A dispatcher's state of one of its requests. A request reported as
/// `never_dispatched` is fenced: the dispatcher ignores a grant that arrives
/// later.
enum class dispatch_state { never_dispatched, in_progress, finished, unknown };

/// Names of dispatch states, for logs.
inline constexpr auto dispatch_state_names = name_table<dispatch_state, 4>{
    {{{dispatch_state::never_dispatched, "never_dispatched"},
      {dispatch_state::in_progress, "in_progress"},
      {dispatch_state::finished, "finished"},
      {dispatch_state::unknown, "unknown"}}}};

/// Dispatcher to owner: answer to a `claim_query_message`.
struct claim_state_message {
    claim_key key_;
    std::string request_id_;
    dispatch_state state_ = dispatch_state::unknown;
    std::optional<stored_answer> answer_ = {};
};

/// Owner to every member while the log is unreachable: asks for a promise not
/// to take over the shard for one lease, and for the newest epoch it knows.
struct epoch_query_message {
    std::uint32_t shard_ = 0;
    std::uint64_t epoch_ = 0;
    std::uint64_t round_ = 0;
};

/// Answer to an `epoch_query_message`; `newest_epoch_` is the newest epoch that
/// the sender knows. A promise counts only if both sides have the same list of
/// members; otherwise a daemon that was not asked may have taken over the
/// shard.
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

/// Append the records in one call and pass the outcome to `on_append_result`
/// with `ticket_`.
struct append_output {
    std::uint32_t shard_ = 0;
    std::uint64_t ticket_ = 0;
    std::vector<claim_log_record> records_;
};

/// Read the shard's stream from offset `from_` on with long polls, until an
/// `unfollow_output`, and pass each result to `on_read`.
struct follow_output {
    std::uint32_t shard_ = 0;
    std::uint64_t from_ = 0;
};

/// Stop reading the shard's stream.
struct unfollow_output {
    std::uint32_t shard_ = 0;
};

/// Send the message to the daemon named `peer_`. Messages may be lost.
struct send_output {
    std::string peer_;
    claim_message message_;
};

/// Permission to send the request to one backend server, once. Given at most
/// once per request id. The caller must then call `finish`,
/// `mark_outcome_unknown` or `abandon`.
struct dispatch_output {
    std::string request_id_;
};

/// The caller's final answer; this daemon does not dispatch the request.
struct answer_output {
    std::string request_id_;
    std::variant<error, stored_answer> answer_;
};

using claim_output = std::variant<append_output, follow_output, unfollow_output,
                                  send_output, dispatch_output, answer_output>;

// ---- the service -----------------------------------------------------------

/// Limits, intervals and time-outs.
struct claim_settings {
    std::uint32_t shard_count_ = 4;
    /// An owner that wrote no valid record for this long may be replaced.
    duration lease_ = seconds{4};
    /// Interval between two renewals of the lease by its owner.
    duration renew_interval_ = seconds{1};
    /// For this long after leaving the list of members, a daemon's promise is
    /// still required: it may be alive and only partitioned from the others.
    duration departed_retention_ = seconds{60};
    /// Minimum interval between two append calls of one shard.
    duration append_interval_ = milliseconds{20};
    /// Maximum delay of a result that waits to be batched with other records.
    duration max_result_delay_ = milliseconds{200};
    /// An append call without a result after this time counts as `unknown`.
    duration append_timeout_ = seconds{2};
    /// Interval at which a waiting request is forwarded to the owner again.
    duration forward_interval_ = milliseconds{300};
    /// A request that no owner answers within this time fails.
    duration forward_timeout_ = seconds{6};
    /// Time-out of an owner's query to the dispatcher that holds the claim.
    duration query_timeout_ = milliseconds{500};
    /// Interval at which a dispatcher resends a result until it is stored.
    duration result_resend_interval_ = seconds{1};
    /// How long a dispatcher keeps its ended requests to answer queries.
    duration dispatcher_retention_ = seconds{600};
    /// How long answers are stored for replay.
    duration answer_window_ = seconds{600};
    /// Minimum time for which a key is remembered.
    duration key_window_ = std::chrono::hours{24};
    /// Entries whose last record is older than this are re-appended. Must be at
    /// most half of the log's retention.
    duration carry_age_ = std::chrono::hours{6};
    /// Time since the Unix epoch at `time_point{}`. Used only to
    /// estimate the age of records that a previous owner wrote; a clock skew of
    /// seconds is harmless.
    duration unix_offset_{};
    /// Larger answers are not stored.
    std::size_t max_answer_bytes_ = std::size_t{64} * 1024;
    /// Limit of stored answer bodies, per shard and per dispatcher; the oldest
    /// are evicted first.
    std::size_t max_stored_bytes_ = std::size_t{16} * 1024 * 1024;
    /// Limit of records queued for append.
    std::size_t max_pending_per_shard_ = 4096;
    std::size_t max_batch_records_ = 512;
    /// A batch is closed by the record that reaches this estimated size.
    std::size_t max_batch_bytes_ = std::size_t{512} * 1024;
    /// Retry-after time of retryable errors.
    milliseconds retry_hint_ = milliseconds{1000};
};

/// Safety checks of the protocol. Tests disable single checks to show that each
/// one is necessary.
class claim_guards {
public:
    claim_guards() = default;
    claim_guards(const claim_guards&) = default;
    auto operator=(const claim_guards&) -> claim_guards& = default;
    virtual ~claim_guards() = default;
    /// Grant a claim only after it was read back as the first valid one.
    [[nodiscard]] virtual auto read_back() const -> bool { return true; }
    /// Take over a shard only if the previous owner's last record was read.
    [[nodiscard]] virtual auto compare_last_seen() const -> bool {
        return true;
    }
    /// Give permission at most once per request id.
    [[nodiscard]] virtual auto permit_once() const -> bool { return true; }
    /// Ignore grants of a request after `never_dispatched` was reported.
    [[nodiscard]] virtual auto fence_late_grants() const -> bool {
        return true;
    }
    /// Treat an unfinished claim as outcome unknown if its dispatcher does not
    /// answer.
    [[nodiscard]] virtual auto unresolved_is_unknown() const -> bool {
        return true;
    }
    /// Report `not_run` for an unknown key only while ownership is confirmed.
    [[nodiscard]] virtual auto confirm_ownership() const -> bool {
        return true;
    }
    /// Keep finished keys after their answers were evicted.
    [[nodiscard]] virtual auto keep_finished_keys() const -> bool {
        return true;
    }
    /// Refuse repeats with a different fingerprint.
    [[nodiscard]] virtual auto compare_fingerprints() const -> bool {
        return true;
    }
    /// Re-append entries before the log's retention drops them.
    [[nodiscard]] virtual auto carry_entries() const -> bool { return true; }
};

/// A caller's request with an idempotency key.
struct claim_submission {
    claim_key key_;
    body_fingerprint fingerprint_;
    /// Unique across all daemons, and never reused.
    std::string request_id_;
    time_point deadline_;
};

/// Counters for metrics and tests.
struct claim_statistics {
    /// Append calls.
    std::uint64_t appends_ = 0;
    /// Records in append calls.
    std::uint64_t records_ = 0;
    /// Messages sent to other daemons.
    std::uint64_t messages_ = 0;
    /// Permissions to dispatch.
    std::uint64_t permissions_ = 0;
    /// Records that were read from the log and had to be ignored.
    std::uint64_t invalid_records_ = 0;
    std::uint64_t takeovers_ = 0;
    std::size_t shards_owned_ = 0;
    std::size_t keys_ = 0;
    /// Bytes of stored answer bodies.
    std::size_t stored_bytes_ = 0;
};

/// Runs the claim protocol of one daemon, as dispatcher and as shard owner.
class claim_service {
public:
    /// `guards` must outlive the service; null enables all safety checks.
    claim_service(claim_settings settings, daemon_identity self,
                  const claim_guards* guards = nullptr);
    claim_service(const claim_service&) = delete;
    auto operator=(const claim_service&) -> claim_service& = delete;
    ~claim_service();

    /// Sets the daemons that may own shards (`self` included unless it is
    /// draining). Shards are assigned to them by rendezvous hashing. The daemon
    /// ranked second is the standby: it also follows the shard's stream, so it
    /// can take over without reading the stream from its start.
    auto on_members(std::vector<std::string> members, time_point now) -> void;
    /// Accepts a caller's request; leads to exactly one `dispatch_output` or
    /// `answer_output`.
    auto submit(claim_submission submission, time_point now) -> void;
    /// Reports that the backend server answered the permitted request
    /// completely.
    auto finish(const std::string& request_id, stored_answer answer,
                time_point now) -> void;
    /// Reports that the permitted request was dispatched with unknown outcome.
    auto mark_outcome_unknown(const std::string& request_id, time_point now)
        -> void;
    /// Reports that no byte of the permitted request was sent and none will be.
    /// The key can be claimed again; the caller may be told `not_run`.
    auto abandon(const std::string& request_id, time_point now) -> void;
    /// Cancels a request whose caller disconnected. Returns false if permission
    /// was already given or the request has ended; the call then has no effect.
    auto cancel(const std::string& request_id, time_point now) -> bool;
    auto on_message(const std::string& peer, claim_message message,
                    time_point now) -> void;
    /// Processes the result of a read. The result has no entries if the long
    /// poll timed out, or if the log no longer retains the requested offset. In
    /// the latter case `first_offset_` is above the requested offset, and a
    /// `follow_output` restarts reading at `first_offset_`.
    auto on_read(std::uint32_t shard, const claim_read& read, time_point now)
        -> void;
    /// Reports a failed read. The log counts as unreachable until the next
    /// `on_read` or successful append.
    auto on_read_failed(std::uint32_t shard, time_point now) -> void;
    auto on_append_result(std::uint32_t shard, std::uint64_t ticket,
                          append_status status, time_point now) -> void;
    /// Runs the timers. Call at least every 20 ms, and after any pause.
    auto tick(time_point now) -> void;
    /// Starts to release all shards; `idle` tells when this is done.
    auto release_all(time_point now) -> void;
    /// Returns true if no shard is owned, being taken over or being released,
    /// and no result waits to be stored.
    [[nodiscard]] auto idle() const -> bool;
    /// Returns the outputs since the last call, in order.
    [[nodiscard]] auto poll() -> std::vector<claim_output>;
    [[nodiscard]] auto statistics() const -> claim_statistics;
    [[nodiscard]] auto owns(std::uint32_t shard) const -> bool;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace basilstream::coordination
