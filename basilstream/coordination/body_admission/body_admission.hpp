/// Decides which bodies of requests get memory while they arrive, which wait,
/// and which are given up.
///
///     auto bodies = body_admission{budget, {}};
///     const auto id = bodies.join(holder, {.need_ = bytes, ...}, now);
///     if (!bodies.on_arrival(id, bytes_so_far, now)) { stop_reading(); }
///     bodies.decide(now);                  // calls holders; every 50 ms or so
///     auto lease = bodies.leave(id);       // complete, or given up
///
/// Load pattern: many clients that announce or send large bodies at once and
/// stop short of their end, beside ordinary requests.
///
/// Memory is counted as bodies arrive. A body gets more of it only if all
/// bodies in progress could then still be completed one after the other
/// (banker's algorithm), so that bodies that arrive never block each other.
/// While a body waits for memory, those that made no progress for a grace
/// period are given up, the ones that hold most and progress least first.
///
/// Without a clock and not safe for concurrent use.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/coordination/byte_budget/byte_budget.hpp"

namespace basilstream::coordination {

/// Why a body is given up.
enum class body_refusal {
    /// It has waited for memory as long as it may.
    no_memory,
    /// It made no progress while others waited for memory, or was not complete
    /// after its deadline and slower than any client within the limits.
    too_slow,
};

/// Reads the body of a request.
class body_holder {
public:
    body_holder() = default;
    body_holder(const body_holder&) = delete;
    auto operator=(const body_holder&) -> body_holder& = delete;
    virtual ~body_holder() = default;

    /// The body may be read on.
    virtual auto on_body_memory() -> void = 0;
    /// The body is given up. Must call body_admission::leave().
    virtual auto on_body_refused(body_refusal reason) -> void = 0;
};

struct body_admission_settings {
    /// A body gets memory in steps of this size. At least twice what is read at
    /// once.
    std::size_t step_ = std::size_t{128} * 1024;
    /// A body that arrives at this rate makes full progress. The largest body,
    /// 4 MiB, arrives at three times this rate within the longest timeout of a
    /// route, 20 s.
    double bytes_per_second_ = 64.0 * 1024;
    /// Time without progress after which a body is given up for one that waits.
    /// Longer than a retransmission after a lost segment takes.
    duration grace_ = seconds{1};
    /// Rate that is demanded of a body after its deadline.
    double late_bytes_per_second_ = 16.0 * 1024;
    /// Longest time that counts between two decisions: time in which the
    /// process was suspended is not the clients'.
    duration longest_step_ = milliseconds{250};
};

/// What is known of a body when its head is complete. Sizes are as counted:
/// with the copies that are kept.
struct body_description {
    /// Memory for the whole body; the largest allowed if it is not known.
    std::size_t need_ = 0;
    /// Who sends it, for fair shares.
    std::uint64_t client_ = 0;
    /// Longest time to wait for memory in one go.
    duration max_wait_{};
    /// Until when a client within the limits has sent it.
    time_point deadline_{};
};

class body_admission {
public:
    using body_id = std::uint64_t;

    body_admission(byte_budget& budget, const body_admission_settings& settings)
        : budget_{budget}, settings_{settings} {}

    /// Adds a body, which must leave() before its holder is destroyed.
    [[nodiscard]] auto join(body_holder& holder,
                            const body_description& description, time_point now)
        -> body_id;
    /// Counts `bytes` of a body as in memory. Returns whether more may be read;
    /// if not, the holder is called when it may.
    [[nodiscard]] auto on_arrival(body_id id, std::size_t bytes, time_point now)
        -> bool;
    /// Removes a body and returns what accounts for its memory.
    auto leave(body_id id) -> std::shared_ptr<byte_lease>;
    /// Gives memory to bodies that wait and gives up others.
    auto decide(time_point now) -> void;

    /// Numbers of bodies that are arriving, and that wait for memory.
    [[nodiscard]] auto size() const -> std::size_t { return bodies_.size(); }
    [[nodiscard]] auto waiting() const -> std::size_t;

private:
    struct body {
        body_holder* holder_;
        body_description description_;
        std::shared_ptr<byte_lease> lease_;
        std::size_t arrived_ = 0;
        std::size_t granted_ = 0;
        // Whether it has got memory. Its beginning, which came with its head
        // in one read, is not counted before.
        bool begun_ = false;
        bool waits_ = false;
        time_point waits_since_{};
        // Time in which it was read but made too little progress.
        duration behind_{};
        // Bytes that arrived after its deadline, and since when that counts.
        duration late_{};
        std::size_t late_bytes_ = 0;
    };
    using body_map = std::map<body_id, body>;

    [[nodiscard]] auto available() const -> std::size_t;
    [[nodiscard]] auto next_grant(const body& one) const -> std::size_t;
    // Whether all bodies can be completed one after the other once one of them
    // has that grant.
    [[nodiscard]] auto is_safe(body_id id, std::size_t grant) const -> bool;
    auto try_grant(body_id id, body& one) -> bool;
    // Clients whose bodies hold more than a fair share of the memory.
    [[nodiscard]] auto clients_above_share() const -> std::set<std::uint64_t>;
    // Bodies that wait, the one to be served first at the front.
    [[nodiscard]] auto waiting_in_order(time_point now) const
        -> std::vector<body_id>;
    // Bodies without progress, the one to be given up first at the front.
    [[nodiscard]] auto slow_in_order() const -> std::vector<body_id>;
    auto measure_progress(time_point now) -> void;
    auto refuse(body_id id, body_refusal reason) -> void;
    auto refuse_late(time_point now) -> void;
    // Gives up slow bodies until the one that waits gets memory.
    auto make_room(body_id id) -> bool;

    byte_budget& budget_;
    const body_admission_settings settings_;
    body_map bodies_;
    body_id last_id_ = 0;
    time_point decided_at_{};
};

} // namespace basilstream::coordination
