/// Fake log and fake runner of the randomised run: pure, driven by its events.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/coordination/control/control.hpp"

namespace basilstream::testing {

/// Sink of broken rules: name and detail.
using violation_sink =
    std::function<void(const std::string& name, const std::string& detail)>;

/// One stream with retention by record count.
class fake_log {
public:
    explicit fake_log(std::size_t retention) : retention_{retention} {}

    /// Appends a record as the wire would carry it; nothing is a torn one.
    auto append(std::optional<state::envelope> entry) -> state::log_offset;
    [[nodiscard]] auto bounds() const -> coordination::log_bounds {
        return {first_, first_ + entries_.size()};
    }
    [[nodiscard]] auto read(state::log_offset from, std::uint32_t max) const
        -> std::vector<coordination::log_entry>;

    bool down_ = false;

private:
    std::size_t retention_;
    state::log_offset first_ = 0;
    std::deque<std::optional<state::envelope>> entries_;
};

/// A model engine: keeps its own books, apart from the system's ledger.
class fake_runner {
public:
    fake_runner(std::string name, std::string zone, std::string shard,
                std::uint64_t memory, bool checks_fencing);

    /// Starts empty under a new boot id.
    auto restart(const std::string& boot_id) -> void;

    /// An order arrives. Returns the answer and, for a load that began, true
    /// in `began`.
    auto on_order(const coordination::order_command& order, bool& began)
        -> coordination::order_answer;
    /// A load that began ends: ready, failed, or failed with memory held.
    auto finish_load(const state::record_id& order, bool succeeds,
                     bool keeps_memory) -> void;
    /// Somebody else loads something, if it fits.
    auto load_foreign(const state::resident_key& key, std::uint64_t bytes)
        -> bool;

    /// Makes the current books what report() gives.
    auto refresh_report() -> void;
    [[nodiscard]] auto report() const -> coordination::runner_report {
        return report_;
    }
    /// Memory of everything that was ordered, on the engine's own books.
    [[nodiscard]] auto ordered_bytes() const -> std::uint64_t;
    /// Whether a model that was ordered is ready; nothing is routed to a
    /// foreign one.
    [[nodiscard]] auto serves(const std::string& model) const -> bool;

    std::string name_;
    std::string zone_;
    std::string shard_;
    std::uint64_t memory_;
    bool checks_fencing_;
    std::string boot_id_;
    bool up_ = false;

private:
    auto unload(const coordination::order_command& order) -> void;
    auto finish(const state::record_id& id,
                coordination::reported_order::outcome outcome) -> void;

    std::map<state::resident_key, coordination::reported_resident> residents_;
    state::runner_role role_ = state::runner_role::mixed;
    std::set<state::record_id> known_;
    std::vector<coordination::reported_order> finished_;
    state::epoch highest_fencing_ = 0;
    std::uint64_t sequence_ = 0;
    coordination::runner_report report_;
};

} // namespace basilstream::testing
