/// Keeps capacity of servers free for urgent requests and orders the requests
/// that wait for it at a daemon.
///
///     auto demand = rank_demand{};
///     demand.on_request(rank, now);
///     const auto bound = load_bound(rank, demand.share_above(rank, now));
///     // no bound: send; else only to servers with fewer requests per slot
///     auto waiting = waiting_requests{256};
///     for (const auto id : waiting.add(request)) { /* refuse */ }
///     for (const auto id : waiting.take_expired(now)) { /* refuse */ }
///     for (const auto& group : waiting.groups()) {
///         const auto id = waiting.first(group, now); /* send, then remove */
///     }
///
/// Load pattern: callers of several priorities demand more than the servers
/// can do, for seconds at a time. The queues of the servers are full of the
/// least urgent requests, so that servers reject the most urgent ones and
/// preempt others whose prompts they have read.
///
/// Sans-I/O; not safe for concurrent use.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "basilstream/base/clock/clock.hpp"

namespace basilstream::coordination {

/// Number of ranks that are told apart, 0 the most urgent.
inline constexpr auto service_ranks = 10;

/// Measures how much of the recent demand is of each rank.
class rank_demand {
public:
    /// Counts a request of `rank`.
    auto on_request(int rank, time_point now) -> void;
    /// Returns the share of recent requests that are more urgent than `rank`.
    [[nodiscard]] auto share_above(int rank, time_point now) const -> double;

    /// Counts a request of `rank` that is sent to a server.
    auto on_sent(int rank, time_point now) -> void;
    /// Returns whether requests of `rank` are sent so much more seldom than all
    /// requests that they should be treated as of rank 1.
    [[nodiscard]] auto is_neglected(int rank, time_point now) const -> bool;

private:
    [[nodiscard]] auto decay(time_point now) const -> double;
    auto refresh(time_point now) -> void;

    // Counts that fall by half in each half-life, as of `updated_at_`.
    std::array<double, service_ranks> arrived_{};
    std::array<double, service_ranks> sent_{};
    time_point updated_at_{};
};

/// Returns the load per slot below which a server gets a request of `rank`
/// (trunk reservation; Kelly, 1991); nothing if the request goes to any server.
/// `share_above` is the share of more urgent demand: what is kept free follows
/// it, so that no slot stays idle for requests that don't come.
[[nodiscard]] auto load_bound(int rank, double share_above)
    -> std::optional<double>;

/// Paces the requests of a daemon for a model, while its servers are busy, by
/// the ends of its own requests, so that tens of daemons which see the same
/// room do not all fill it.
class send_credit {
public:
    /// Handles the end of a request that was sent.
    auto on_ended() -> void;
    /// Returns whether a request may be sent to servers with `load` requests
    /// per slot, given its `bound` from load_bound(); charges for it if so.
    [[nodiscard]] auto try_send(double load, std::optional<double> bound)
        -> bool;

private:
    double credit_ = 1;
};

/// A request that waits at the daemon.
struct waiting_request {
    std::uint64_t id_ = 0;
    /// Requests that the same servers can run, for example those of a model.
    std::string group_ = {};
    int rank_ = 0;
    /// When it must have been sent to meet its objective.
    time_point objective_at_{};
    /// When it is no longer worth sending.
    time_point give_up_at_{};
    /// In any unit.
    double work_ = 0;
};

/// The requests that wait, in the order: rank, whether the objective can still
/// be met, work. Each operation takes time logarithmic in their number.
class waiting_requests {
public:
    explicit waiting_requests(std::size_t capacity) : capacity_{capacity} {}

    /// Adds a request, whose id must be new. Returns the requests for which
    /// there is no room: the last ones in the order, possibly the new one.
    [[nodiscard]] auto add(const waiting_request& request)
        -> std::vector<std::uint64_t>;
    /// Removes a request; has no effect if it does not wait.
    auto remove(std::uint64_t id) -> void;
    /// Removes and returns the requests that are no longer worth sending.
    [[nodiscard]] auto take_expired(time_point now)
        -> std::vector<std::uint64_t>;
    /// Returns the groups that have requests.
    [[nodiscard]] auto groups() const -> std::vector<std::string>;
    /// Returns the first request of a group; nothing if there is none.
    [[nodiscard]] auto first(const std::string& group, time_point now)
        -> std::optional<std::uint64_t>;
    /// Returns the number of requests of `rank` or a more urgent one.
    [[nodiscard]] auto count_ahead(int rank) const -> std::size_t;
    [[nodiscard]] auto size() const -> std::size_t { return requests_.size(); }

private:
    // Rank, whether the objective can't be met, work, id.
    using position = std::tuple<int, bool, double, std::uint64_t>;
    struct entry {
        waiting_request request_;
        bool late_ = false;
    };

    [[nodiscard]] static auto position_of(const entry& waiting) -> position;

    std::size_t capacity_;
    std::unordered_map<std::uint64_t, entry> requests_;
    std::map<std::string, std::set<position>> by_group_;
    std::set<position> by_order_;
    std::set<std::pair<time_point, std::uint64_t>> by_give_up_;
    std::array<std::size_t, service_ranks> by_rank_{};
};

/// What is left of the time until a request misses its objective.
enum class slack_state {
    /// It can meet its objective, but not if it waits again.
    used,
    enough,
    /// It can't meet its objective any more.
    late,
};

/// Returns the level, 0 to 9, by which servers order a request of the rank
/// `position` of `count` ranks: by rank, then by slack. Nothing if there are
/// more than five ranks, which leave no levels for slack.
[[nodiscard]] auto urgency_level(int position, int count, slack_state slack)
    -> std::optional<int>;

/// Maps the rank `position` of `count` ranks to 0 ... `service_ranks` - 1. Only
/// the first one is mapped to 0.
[[nodiscard]] auto service_rank(int position, int count) -> int;

} // namespace basilstream::coordination
