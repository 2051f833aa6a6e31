/// Declared resources: what operators ask the system to provide. Value types
/// without behaviour beyond names and equality; codecs live in protocol/.
///
///     auto wanted = model_resource{};
///     wanted.organisation_ = "banevagt";
///     wanted.name_ = "heats";
///     wanted.versions_ = {"v2"};
///     full_name(resource{wanted});   // "banevagt/heats"
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>
#include <vector>

#include "basilstream/base/name_table/name_table.hpp"

namespace basilstream::state {

/// An organisation: a tenant that owns models, adapters and services and can
/// leave with them.
struct organisation_resource {
    std::string name_;
    /// SHA-256 of each caller token, 64 lower-case hexadecimal digits.
    std::vector<std::string> token_hashes_;
    /// Share of a contended resource relative to other organisations.
    std::uint32_t weight_ = 1;
    /// Attainment that a move must gain before it is worth making; a fraction
    /// of one accelerator's goodput.
    double move_price_ = 0.0;
    /// Free labels.
    std::map<std::string, std::string> labels_;

    friend auto operator==(const organisation_resource&,
                           const organisation_resource&) -> bool = default;
};

/// A language model that must stay reachable.
struct model_resource {
    std::string organisation_;
    std::string name_;
    /// Versions that must be served; the first serves requests which name
    /// none. At least one.
    std::vector<std::string> versions_;
    /// Larger is more important.
    std::int32_t priority_ = 0;
    /// Availability zones where it may be resident; empty means all.
    std::vector<std::string> zones_;
    /// Accelerator memory of one replica of one version, in bytes.
    std::uint64_t memory_bytes_ = 0;
    /// Replicas of each version to keep ready.
    std::uint32_t minimum_replicas_ = 1;

    friend auto operator==(const model_resource&, const model_resource&)
        -> bool = default;
};

/// An adapter (LoRA) of a model of the same organisation; follows each version
/// of its model.
struct adapter_resource {
    std::string organisation_;
    std::string name_;
    /// Name of its model within the organisation.
    std::string model_;
    std::int32_t priority_ = 0;
    /// Accelerator memory of one replica, in bytes, beside its model's.
    std::uint64_t memory_bytes_ = 0;
    /// Replicas to keep ready; they sit where the model is.
    std::uint32_t minimum_replicas_ = 1;

    friend auto operator==(const adapter_resource&, const adapter_resource&)
        -> bool = default;
};

/// A plain service beside the model engines. Its backend servers are the VMs
/// of kind `service` which the VM list gives under its name.
struct service_resource {
    std::string organisation_;
    std::string name_;
    std::int32_t priority_ = 0;
    std::vector<std::string> zones_;
    /// Methods whose requests may not be repeated, upper case ("POST").
    std::vector<std::string> non_idempotent_methods_;

    friend auto operator==(const service_resource&, const service_resource&)
        -> bool = default;
};

/// Any declared resource.
using resource = std::variant<organisation_resource, model_resource,
                              adapter_resource, service_resource>;

/// Kind of a resource; equals the variant's index.
enum class resource_kind { organisation, model, adapter, service };

/// Names of kinds, as they appear in resource files.
inline constexpr auto resource_kind_names = name_table<resource_kind, 4>{
    {{{resource_kind::organisation, "organisation"},
      {resource_kind::model, "model"},
      {resource_kind::adapter, "adapter"},
      {resource_kind::service, "service"}}}};

/// Returns the kind of `value`.
[[nodiscard]] auto kind_of(const resource& value) -> resource_kind;

/// Returns "organisation" for an organisation, "organisation/name" for a model
/// or a service, "organisation/model/adapter" for an adapter.
[[nodiscard]] auto full_name(const resource& value) -> std::string;

/// Returns "organisation/name", the name under which callers know a model.
[[nodiscard]] auto qualified_name(std::string_view organisation,
                                  std::string_view name) -> std::string;

/// Name and kind of a resource: its key in the state.
struct resource_key {
    resource_kind kind_ = resource_kind::organisation;
    std::string name_;

    friend auto operator==(const resource_key&, const resource_key&)
        -> bool = default;
    friend auto operator<(const resource_key& left, const resource_key& right)
        -> bool {
        return std::tie(left.kind_, left.name_) <
               std::tie(right.kind_, right.name_);
    }
};

/// Returns the key of `value`.
[[nodiscard]] auto key_of(const resource& value) -> resource_key;

/// Longest name of a resource, in characters.
inline constexpr auto max_name_length = std::size_t{64};

/// Longest list within a resource.
inline constexpr auto max_list_length = std::size_t{64};

/// Most replicas that a resource may demand.
inline constexpr auto max_replicas = std::uint32_t{64};

/// Returns why `value` is malformed in one sentence, or an empty string when it
/// is well formed. Names are 1 to 64 of [a-z0-9._-], and lists are bounded.
[[nodiscard]] auto find_defect(const resource& value) -> std::string;

} // namespace basilstream::state
