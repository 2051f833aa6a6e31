/// Records of the control stream: the only way in which the state changes.
/// Value types; the protobuf codec is protocol/record_codec.
///
///     auto entry = envelope{make_record_id(random), position,
///                           shard_claim{"muc", "entry-1", 0}};
///
/// A kind never gains a field that changes its validity. A change of meaning
/// is a new kind, valid only from the offset of a `format_level` record on, so
/// that daemons of different versions agree on every offset before it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>
#include <vector>

#include "basilstream/base/name_table/name_table.hpp"
#include "basilstream/base/random/random.hpp"
#include "basilstream/state/resource/resource.hpp"

namespace basilstream::state {

/// Position of a record in the control stream.
using log_offset = std::uint64_t;

/// One above the offset of the claim record that made an owner, so that zero
/// means "never claimed". Also the fencing number of the owner's orders.
using epoch = std::uint64_t;

/// One above the offset of the record that set a resource; zero means that it
/// does not exist. Grows even across deletion and re-creation.
using generation = std::uint64_t;

/// Identity that a writer gives a record (128 random bits). A record appended
/// again under the same id takes effect once.
struct record_id {
    std::uint64_t high_ = 0;
    std::uint64_t low_ = 0;

    friend auto operator==(const record_id&, const record_id&)
        -> bool = default;
    friend auto operator<(const record_id& left, const record_id& right)
        -> bool {
        return std::tie(left.high_, left.low_) <
               std::tie(right.high_, right.low_);
    }
};

/// Hash of a record id; the id is random already.
struct record_id_hash {
    auto operator()(const record_id& id) const noexcept -> std::size_t {
        return static_cast<std::size_t>(id.low_);
    }
};

/// Returns a fresh id.
[[nodiscard]] auto make_record_id(random_source& random) -> record_id;

/// Returns 32 hexadecimal digits.
[[nodiscard]] auto to_string(const record_id& id) -> std::string;

/// Returns the id written as 32 hexadecimal digits, or nothing.
[[nodiscard]] auto parse_record_id(std::string_view text)
    -> std::optional<record_id>;

/// What an order asks of a runner.
enum class order_action {
    load_model,
    unload_model,
    load_adapter,
    unload_adapter,
    set_role,
};

/// Names of actions, as the engine protocol spells them.
inline constexpr auto order_action_names = name_table<order_action, 5>{
    {{{order_action::load_model, "load_model"},
      {order_action::unload_model, "unload_model"},
      {order_action::load_adapter, "load_adapter"},
      {order_action::unload_adapter, "unload_adapter"},
      {order_action::set_role, "set_role"}}}};

/// Part of the work that a runner takes.
enum class runner_role { mixed, prefill, decode };

/// Names of roles, as the engine protocol spells them.
inline constexpr auto runner_role_names =
    name_table<runner_role, 3>{{{{runner_role::mixed, "mixed"},
                                 {runner_role::prefill, "prefill"},
                                 {runner_role::decode, "decode"}}}};

/// What may be resident on a runner: a model's version, or an adapter on it.
struct resident_key {
    /// "organisation/model".
    std::string model_;
    /// Name of the adapter within its model; empty for the model itself.
    std::string adapter_;
    /// Version of the model, also for an adapter.
    std::string version_;

    friend auto operator==(const resident_key&, const resident_key&)
        -> bool = default;
    friend auto operator<(const resident_key& left, const resident_key& right)
        -> bool {
        return std::tie(left.model_, left.adapter_, left.version_) <
               std::tie(right.model_, right.adapter_, right.version_);
    }
};

/// Returns "organisation/model@version" or
/// "organisation/model@version+adapter".
[[nodiscard]] auto to_string(const resident_key& key) -> std::string;

/// Sets a resource when its generation is still `expected_generation_`.
struct resource_put {
    resource resource_;
    generation expected_generation_ = 0;
};

/// Deletes a resource when its generation is still `expected_generation_`.
struct resource_delete {
    resource_key key_;
    generation expected_generation_ = 0;
};

/// Makes `daemon_` the owner of a shard when its epoch is still
/// `expected_epoch_`.
struct shard_claim {
    std::string shard_;
    std::string daemon_;
    epoch expected_epoch_ = 0;
};

/// Shows the others that the owner of `epoch_` lives. Changes no state.
struct shard_renewal {
    std::string shard_;
    epoch epoch_ = 0;
};

/// Gives a shard up.
struct shard_release {
    std::string shard_;
    epoch epoch_ = 0;
};

/// Announces an order to a runner; its memory counts from here on. The order
/// id is the record id.
struct order_intent {
    std::string shard_;
    epoch epoch_ = 0;
    std::string runner_;
    std::string boot_id_;
    order_action action_ = order_action::load_model;
    resident_key resident_;
    /// Memory of a load; zero for other actions.
    std::uint64_t bytes_ = 0;
    runner_role role_ = runner_role::mixed;
};

/// Definite end of an order.
enum class order_result {
    /// Carried out.
    done,
    /// Not carried out; the engine holds nothing of it.
    failed,
    /// Not carried out; the engine still holds memory of it.
    failed_resident,
};

/// Names of results.
inline constexpr auto order_result_names = name_table<order_result, 3>{
    {{{order_result::done, "done"},
      {order_result::failed, "failed"},
      {order_result::failed_resident, "failed_resident"}}}};

/// Settles an order from the runner's own report.
struct order_outcome {
    std::string shard_;
    epoch epoch_ = 0;
    record_id order_;
    order_result result_ = order_result::done;
    std::string detail_;
};

/// A runner was seen with a new boot id: it holds nothing of former boots.
struct runner_boot {
    std::string shard_;
    epoch epoch_ = 0;
    std::string runner_;
    /// "IP:PORT".
    std::string address_;
    std::string zone_;
    std::string boot_id_;
    /// Boot id which the writer knew; empty when it knew none.
    std::string previous_boot_id_;
    std::uint64_t memory_bytes_ = 0;
};

/// A runner has left for good; this boot of it is never used again.
struct runner_gone {
    std::string shard_;
    epoch epoch_ = 0;
    std::string runner_;
    std::string boot_id_;
};

/// A runner reports a resident that no order in the state explains.
struct resident_seen {
    std::string shard_;
    epoch epoch_ = 0;
    std::string runner_;
    std::string boot_id_;
    resident_key resident_;
    std::uint64_t bytes_ = 0;
};

/// Stops requests of one fingerprint on all daemons.
struct quarantine_mark {
    /// Fingerprint of the request, hexadecimal digits.
    std::string fingerprint_;
    std::string organisation_;
    std::string model_;
    std::string detail_;
    /// Unix time in milliseconds; daemons compare it, the state does not.
    std::uint64_t expires_at_ms_ = 0;
};

/// Lifts a quarantine.
struct quarantine_lift {
    std::string fingerprint_;
};

/// Makes record kinds up to `level_` valid from the next offset on.
struct format_level {
    std::uint32_t level_ = 1;
};

/// Highest format level that this program understands.
inline constexpr auto supported_format_level = std::uint32_t{1};

/// State of a resident in the ledger.
enum class resident_state {
    /// Its load is not settled.
    loading,
    /// It serves.
    ready,
    /// Its unload is not settled.
    unloading,
    /// Its load failed and the engine still holds memory.
    failed,
    /// The engine reported it without an order.
    foreign,
};

/// Names of resident states.
inline constexpr auto resident_state_names =
    name_table<resident_state, 5>{{{{resident_state::loading, "loading"},
                                    {resident_state::ready, "ready"},
                                    {resident_state::unloading, "unloading"},
                                    {resident_state::failed, "failed"},
                                    {resident_state::foreign, "foreign"}}}};

/// A resident of a runner: an entry of its memory ledger.
struct resident {
    resident_key key_;
    std::uint64_t bytes_ = 0;
    resident_state state_ = resident_state::loading;
    /// Order that loaded it; zero for a foreign one.
    record_id load_order_;
};

/// A snapshot's item: one resource with its generation.
struct resource_item {
    resource resource_;
    generation generation_ = 0;
};

/// A snapshot's item: one shard.
struct shard_item {
    std::string shard_;
    epoch epoch_ = 0;
    /// Empty when the shard was released.
    std::string owner_;
};

/// A snapshot's item: one runner with its ledger.
struct runner_item {
    std::string name_;
    std::string shard_;
    std::string address_;
    std::string zone_;
    std::string boot_id_;
    std::uint64_t memory_bytes_ = 0;
    runner_role role_ = runner_role::mixed;
    /// Whether this boot has left for good.
    bool gone_ = false;
    /// Offset of the record that named this boot.
    log_offset boot_offset_ = 0;
    std::vector<resident> residents_;
};

/// A snapshot's item: one order that is not settled.
struct order_item {
    record_id id_;
    order_intent intent_;
};

/// A snapshot's item: one quarantined fingerprint.
struct quarantine_item {
    quarantine_mark mark_;
};

/// A snapshot's item: ids of recent records with their offsets.
struct recent_ids_item {
    std::vector<log_offset> offsets_;
    std::vector<record_id> ids_;
};

/// A snapshot's item: the format level.
struct format_item {
    std::uint32_t level_ = 1;
};

/// Any item of a snapshot.
using snapshot_item =
    std::variant<resource_item, shard_item, runner_item, order_item,
                 quarantine_item, recent_ids_item, format_item>;

/// One part of a snapshot: the state after every record below `at_offset_`.
struct snapshot_part {
    record_id snapshot_;
    log_offset at_offset_ = 0;
    std::uint32_t part_ = 0;
    std::uint32_t parts_ = 1;
    /// Digest of the whole state, the same in each part.
    std::uint64_t digest_ = 0;
    std::vector<snapshot_item> items_;
};

/// A record of a kind that this program does not know.
struct unknown_record {
    /// Field number of the kind in the wire format; zero when torn.
    std::uint32_t kind_ = 0;
};

/// Any record.
using record =
    std::variant<resource_put, resource_delete, shard_claim, shard_renewal,
                 shard_release, order_intent, order_outcome, runner_boot,
                 runner_gone, resident_seen, quarantine_mark, quarantine_lift,
                 format_level, snapshot_part, unknown_record>;

/// Kind of a record; equals the variant's index.
enum class record_kind {
    resource_put,
    resource_delete,
    shard_claim,
    shard_renewal,
    shard_release,
    order_intent,
    order_outcome,
    runner_boot,
    runner_gone,
    resident_seen,
    quarantine_mark,
    quarantine_lift,
    format_level,
    snapshot_part,
    unknown_record,
};

/// Names of record kinds, for logs and metrics.
inline constexpr auto record_kind_names = name_table<record_kind, 15>{
    {{{record_kind::resource_put, "resource_put"},
      {record_kind::resource_delete, "resource_delete"},
      {record_kind::shard_claim, "shard_claim"},
      {record_kind::shard_renewal, "shard_renewal"},
      {record_kind::shard_release, "shard_release"},
      {record_kind::order_intent, "order_intent"},
      {record_kind::order_outcome, "order_outcome"},
      {record_kind::runner_boot, "runner_boot"},
      {record_kind::runner_gone, "runner_gone"},
      {record_kind::resident_seen, "resident_seen"},
      {record_kind::quarantine_mark, "quarantine_mark"},
      {record_kind::quarantine_lift, "quarantine_lift"},
      {record_kind::format_level, "format_level"},
      {record_kind::snapshot_part, "snapshot_part"},
      {record_kind::unknown_record, "unknown_record"}}}};

/// Returns the kind of `value`.
[[nodiscard]] auto kind_of(const record& value) -> record_kind;

/// A record as it is appended.
struct envelope {
    record_id id_;
    /// Offset up to which the writer had read. The record is invalid when it
    /// lands more than `duplicate_window` records later, which bounds how long
    /// ids must be remembered.
    log_offset written_at_ = 0;
    record body_;
};

/// Records after which an append that has not landed never takes effect.
inline constexpr auto duplicate_window = log_offset{8192};

} // namespace basilstream::state
