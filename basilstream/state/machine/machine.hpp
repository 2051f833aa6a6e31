/// The replicated state: a pure, deterministic function of the control
/// stream. Every daemon that applied the same prefix holds the same state.
///
///     auto replica = machine{};
///     auto outcome = replica.apply(offset, entry);
///     if (!outcome.valid()) { explain(outcome.reason_); }
///
/// A record that breaks a rule is skipped by every reader alike and counted.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "basilstream/base/error/error.hpp"
#include "basilstream/base/name_table/name_table.hpp"
#include "basilstream/state/record/record.hpp"

namespace basilstream::state {

/// Why a record is invalid.
enum class rejection {
    none,
    duplicate_id,
    expired,
    malformed,
    stale_generation,
    missing_resource,
    referenced,
    stale_epoch,
    wrong_shard,
    unknown_runner,
    stale_boot,
    retired_boot,
    capacity,
    already_resident,
    not_resident,
    last_replica,
    model_missing,
    unknown_order,
    too_many_orders,
    unknown_kind,
    format_too_new,
};

/// Names of rejections, for logs, metrics and explanations.
inline constexpr auto rejection_names = name_table<rejection, 21>{
    {{{rejection::none, "none"},
      {rejection::duplicate_id, "duplicate_id"},
      {rejection::expired, "expired"},
      {rejection::malformed, "malformed"},
      {rejection::stale_generation, "stale_generation"},
      {rejection::missing_resource, "missing_resource"},
      {rejection::referenced, "referenced"},
      {rejection::stale_epoch, "stale_epoch"},
      {rejection::wrong_shard, "wrong_shard"},
      {rejection::unknown_runner, "unknown_runner"},
      {rejection::stale_boot, "stale_boot"},
      {rejection::retired_boot, "retired_boot"},
      {rejection::capacity, "capacity"},
      {rejection::already_resident, "already_resident"},
      {rejection::not_resident, "not_resident"},
      {rejection::last_replica, "last_replica"},
      {rejection::model_missing, "model_missing"},
      {rejection::unknown_order, "unknown_order"},
      {rejection::too_many_orders, "too_many_orders"},
      {rejection::unknown_kind, "unknown_kind"},
      {rejection::format_too_new, "format_too_new"}}}};

/// What became of a record.
struct apply_outcome {
    rejection reason_ = rejection::none;

    [[nodiscard]] auto valid() const -> bool {
        return reason_ == rejection::none;
    }
};

/// Rules that tests may switch off to show that the checks find it. All on in
/// the programs.
struct machine_guards {
    bool epoch_check_ = true;
    bool capacity_check_ = true;
    bool count_unresolved_ = true;
    bool duplicate_check_ = true;
    bool last_replica_check_ = true;
};

/// A shard of the control work.
struct shard_state {
    /// Epoch of the latest valid claim; zero before the first.
    epoch epoch_ = 0;
    /// Empty after a release.
    std::string owner_;
};

/// An order that is not settled.
struct open_order {
    record_id id_;
    order_intent intent_;
};

/// A runner and its ledger.
struct runner_state {
    std::string name_;
    std::string shard_;
    std::string address_;
    std::string zone_;
    std::string boot_id_;
    std::uint64_t memory_bytes_ = 0;
    runner_role role_ = runner_role::mixed;
    bool gone_ = false;
    /// Offset of the record that named this boot. A report says something
    /// about the runner only when it was asked for after that record was read.
    log_offset boot_offset_ = 0;
    /// Residents and unsettled loads; each counts its bytes.
    std::vector<resident> residents_;
    /// Sum of the bytes of ordered residents and unsettled loads.
    std::uint64_t committed_bytes_ = 0;
    /// Sum of the bytes of foreign residents.
    std::uint64_t foreign_bytes_ = 0;
    /// Ids of orders that are not settled.
    std::vector<record_id> open_orders_;

    /// Returns the entry of `key`, or null.
    [[nodiscard]] auto find(const resident_key& key) const -> const resident*;
    [[nodiscard]] auto find(const resident_key& key) -> resident*;
    /// Returns the bytes that a new load may take.
    [[nodiscard]] auto free_bytes() const -> std::uint64_t;
};

/// Where a resident sits.
struct placement {
    const runner_state* runner_ = nullptr;
    resident_key key_;
    resident_state state_ = resident_state::loading;
};

/// A resource and its accepted generation.
struct resource_state {
    resource resource_;
    generation generation_ = 0;
};

/// Condition of a declared model or adapter, for status reports.
struct model_condition {
    std::string name_;
    generation generation_ = 0;
    bool reachable_ = false;
    std::uint32_t ready_replicas_ = 0;
    std::uint32_t loading_replicas_ = 0;
    std::uint32_t wanted_replicas_ = 0;
    /// Availability zones with a ready replica.
    std::uint32_t zones_ = 0;
    /// One sentence; empty when all is as declared.
    std::string reason_;
};

/// Counters of a replica; they differ between daemons that started at
/// different offsets and are no part of the state.
struct machine_counters {
    std::uint64_t applied_ = 0;
    std::array<std::uint64_t, rejection_names.rows_.size()> rejected_{};
};

/// Orders of one runner that may be unsettled at once. Stays far below the
/// 256 finished orders that an engine's report keeps, so that an unsettled
/// order's end can't drop out of the report unseen.
inline constexpr auto max_open_orders = std::size_t{16};

/// Boots of departed runners that are remembered.
inline constexpr auto max_gone_runners = std::size_t{4096};

/// The state. Not safe for concurrent use; copyable.
class machine {
public:
    explicit machine(machine_guards guards = {},
                     log_offset window = duplicate_window);

    /// Applies the record at `offset`, which must be next_offset(). Never
    /// throws on any record.
    auto apply(log_offset offset, const envelope& entry) -> apply_outcome;

    /// Skips an offset whose payload could not be decoded.
    auto skip(log_offset offset) -> void;

    /// Moves the position forward to `offset` although the records between
    /// were not applied. Only for a log that has lost them everywhere.
    auto rebase(log_offset offset) -> void;

    /// Returns the offset of the first record that was not applied.
    [[nodiscard]] auto next_offset() const -> log_offset { return next_; }

    /// Returns whether the stream demands a newer program; nothing is applied
    /// from then on.
    [[nodiscard]] auto unsupported() const -> bool;

    /// Returns a hash of the whole state (xxHash, XXH3 64 bits); equal states
    /// have equal digests on every machine.
    [[nodiscard]] auto digest() const -> std::uint64_t;

    /// Returns the state as items in an order that depends on it alone.
    [[nodiscard]] auto items() const -> std::vector<snapshot_item>;

    /// Returns the state that `items` describe, complete up to `at_offset`.
    /// Error at step state when they contradict themselves or the digest
    /// differs.
    [[nodiscard]] static auto
    restore(log_offset at_offset, const std::vector<snapshot_item>& items,
            std::uint64_t digest, machine_guards guards = {},
            log_offset window = duplicate_window) -> result<machine>;

    /// Returns a resource, or null. Amortised constant time.
    [[nodiscard]] auto find_resource(const resource_key& key) const
        -> const resource_state*;
    /// Returns the model called "organisation/name", or null.
    [[nodiscard]] auto find_model(std::string_view name) const
        -> const model_resource*;
    /// Returns all resources by kind and name.
    [[nodiscard]] auto resources() const -> std::vector<const resource_state*>;
    /// Returns the number of resources.
    [[nodiscard]] auto resource_count() const -> std::size_t {
        return resources_.size();
    }

    /// Returns where a model and its adapters sit, all states. Cost: the
    /// model's own residents.
    [[nodiscard]] auto placements(std::string_view model) const
        -> std::vector<placement>;

    /// Returns a runner, or null. Amortised constant time.
    [[nodiscard]] auto find_runner(std::string_view name) const
        -> const runner_state*;
    /// Returns the runners that have not left, by name.
    [[nodiscard]] auto runners() const -> std::vector<const runner_state*>;

    /// Returns an order that is not settled, or null.
    [[nodiscard]] auto find_order(const record_id& id) const
        -> const open_order*;
    /// Returns the number of orders that are not settled.
    [[nodiscard]] auto open_order_count() const -> std::size_t {
        return orders_.size();
    }

    /// Returns a shard; one without owner when it was never claimed.
    [[nodiscard]] auto find_shard(std::string_view name) const -> shard_state;
    /// Returns all shards by name.
    [[nodiscard]] auto shards() const
        -> const std::map<std::string, shard_state, std::less<>>& {
        return shards_;
    }

    /// Returns the mark of a quarantined fingerprint, or null.
    [[nodiscard]] auto find_quarantine(std::string_view fingerprint) const
        -> const quarantine_mark*;
    /// Returns all marks by fingerprint.
    [[nodiscard]] auto quarantines() const
        -> const std::map<std::string, quarantine_mark, std::less<>>& {
        return quarantines_;
    }

    /// Returns the conditions of all declared models and adapters by name.
    [[nodiscard]] auto conditions() const -> std::vector<model_condition>;

    /// Returns whether a declared model, version or adapter would be without a
    /// ready replica when `key` on `runner` served no more; with
    /// `whole_runner`, when nothing on the runner did. A ready replica on a
    /// prefill runner counts as one to keep too: its role may be changing.
    [[nodiscard]] auto is_last_replica(const runner_state& runner,
                                       const resident_key& key,
                                       bool whole_runner = false) const -> bool;

    [[nodiscard]] auto counters() const -> const machine_counters& {
        return counters_;
    }
    [[nodiscard]] auto level() const -> std::uint32_t { return level_; }

private:
    struct string_hash {
        using is_transparent = void;
        auto operator()(std::string_view text) const noexcept -> std::size_t {
            return std::hash<std::string_view>{}(text);
        }
    };
    template <class Value>
    using name_map =
        std::unordered_map<std::string, Value, string_hash, std::equal_to<>>;
    struct resource_key_hash {
        auto operator()(const resource_key& key) const noexcept -> std::size_t {
            return std::hash<std::string>{}(key.name_) ^
                   static_cast<std::size_t>(key.kind_);
        }
    };

    auto judge(log_offset offset, const envelope& entry) -> rejection;
    auto is_duplicate(const record_id& id) const -> bool;
    auto remember(log_offset offset, const record_id& id) -> void;
    auto forget_old_ids(log_offset offset) -> void;

    // One overload per kind: checks and takes effect, or says why not.
    auto accept(log_offset offset, const record_id& id,
                const resource_put& body) -> rejection;
    auto accept(log_offset offset, const record_id& id,
                const resource_delete& body) -> rejection;
    auto accept(log_offset offset, const record_id& id, const shard_claim& body)
        -> rejection;
    auto accept(log_offset offset, const record_id& id,
                const shard_renewal& body) -> rejection;
    auto accept(log_offset offset, const record_id& id,
                const shard_release& body) -> rejection;
    auto accept(log_offset offset, const record_id& id,
                const order_intent& body) -> rejection;
    auto accept(log_offset offset, const record_id& id,
                const order_outcome& body) -> rejection;
    auto accept(log_offset offset, const record_id& id, const runner_boot& body)
        -> rejection;
    auto accept(log_offset offset, const record_id& id, const runner_gone& body)
        -> rejection;
    auto accept(log_offset offset, const record_id& id,
                const resident_seen& body) -> rejection;
    auto accept(log_offset offset, const record_id& id,
                const quarantine_mark& body) -> rejection;
    auto accept(log_offset offset, const record_id& id,
                const quarantine_lift& body) -> rejection;
    auto accept(log_offset offset, const record_id& id,
                const format_level& body) -> rejection;
    auto accept(log_offset offset, const record_id& id,
                const snapshot_part& body) -> rejection;
    auto accept(log_offset offset, const record_id& id,
                const unknown_record& body) -> rejection;

    // Rules shared by several kinds.
    [[nodiscard]] auto check_owner(std::string_view shard, epoch held) const
        -> rejection;
    template <class Body>
    [[nodiscard]] auto check_runner(const Body& body) const -> rejection;
    [[nodiscard]] auto check_intent(const order_intent& body) const
        -> rejection;
    [[nodiscard]] auto check_load(const runner_state& runner,
                                  const order_intent& body) const -> rejection;
    [[nodiscard]] auto check_unload(const runner_state& runner,
                                    const order_intent& body) const
        -> rejection;
    [[nodiscard]] auto check_role(const runner_state& runner,
                                  const order_intent& body) const -> rejection;
    [[nodiscard]] auto is_serving(const runner_state& runner) const -> bool;
    [[nodiscard]] auto counted_bytes(const runner_state& runner) const
        -> std::uint64_t;
    [[nodiscard]] auto owner_only(const record& body) const -> bool;
    [[nodiscard]] auto has_ready_elsewhere(const runner_state& runner,
                                           const resident_key& key,
                                           bool any_version,
                                           bool whole_runner) const -> bool;
    [[nodiscard]] auto condition_of(const model_resource& model) const
        -> model_condition;
    [[nodiscard]] auto condition_of(const adapter_resource& adapter) const
        -> model_condition;
    [[nodiscard]] auto shortage_of(const model_resource& model) const
        -> std::string;

    // Changes of the ledger; they keep the sums and the model index.
    auto add_resident(runner_state& runner, resident entry) -> void;
    auto remove_resident(runner_state& runner, const resident_key& key) -> void;
    auto clear_runner(runner_state& runner) -> void;
    auto settle(const open_order& order, order_result outcome) -> void;
    auto close_order(runner_state& runner, const record_id& id) -> void;
    auto index_resident(const std::string& runner, const resident_key& key)
        -> void;
    auto forget_resident(const std::string& runner, const resident_key& key)
        -> void;
    auto check_ledger(const runner_state& runner) const -> void;
    auto retire(const runner_state& runner) -> void;
    auto restore_item(const snapshot_item& item) -> bool;

    machine_guards guards_;
    log_offset window_;
    log_offset next_ = 0;
    std::uint32_t level_ = 1;
    std::unordered_map<resource_key, resource_state, resource_key_hash>
        resources_;
    name_map<runner_state> runners_;
    // Names of departed runners, oldest first.
    std::deque<std::string> gone_;
    // Runners by model, one entry per resident.
    name_map<std::vector<std::pair<std::string, resident_key>>> residents_;
    std::unordered_map<record_id, open_order, record_id_hash> orders_;
    std::map<std::string, shard_state, std::less<>> shards_;
    std::map<std::string, quarantine_mark, std::less<>> quarantines_;
    std::deque<std::pair<log_offset, record_id>> recent_;
    std::unordered_set<record_id, record_id_hash> recent_ids_;
    machine_counters counters_;
};

} // namespace basilstream::state
