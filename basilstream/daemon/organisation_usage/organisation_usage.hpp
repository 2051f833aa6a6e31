/// Counts the requests of each organisation, as metrics and for status output.
///
///     auto usage = organisation_usage{metrics};
///     usage.on_admitted("acme", 1600);
///     usage.on_refused("acme", refusal_kind::capacity);
///
/// The number of organisations is the operators', so that only the first ones
/// get counters of their own; the others share one. Not thread-safe: use on the
/// thread that writes out the metrics.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "basilstream/base/name_table/name_table.hpp"
#include "basilstream/transport/metrics/metrics.hpp"

namespace basilstream::daemon {

/// Why a request of a known organisation was refused.
enum class refusal_kind { allowance, capacity };

inline constexpr auto refusal_kind_names =
    name_table<refusal_kind, 2>{{{{refusal_kind::allowance, "allowance"},
                                  {refusal_kind::capacity, "capacity"}}}};

/// Counters of an organisation since the start of the process.
struct organisation_counters {
    transport::counter& admitted_;
    /// Units of the allowance that the admitted requests have cost.
    transport::counter& units_;
    /// By refusal_kind.
    std::array<transport::counter*, refusal_kind_names.rows_.size()> refused_;
};

class organisation_usage {
public:
    /// Organisations beyond this number share the label "other".
    static constexpr auto max_labels_ = std::size_t{64};

    explicit organisation_usage(transport::metrics_registry& metrics)
        : metrics_{metrics} {}

    auto on_admitted(const std::string& organisation, double units) -> void;
    auto on_refused(const std::string& organisation, refusal_kind kind) -> void;

    [[nodiscard]] auto counters() const
        -> const std::map<std::string, organisation_counters>& {
        return counters_;
    }

private:
    auto counters_of(const std::string& organisation) -> organisation_counters&;

    transport::metrics_registry& metrics_;
    std::map<std::string, organisation_counters> counters_;
};

} // namespace basilstream::daemon
