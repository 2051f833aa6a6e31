#include "basilstream/daemon/organisation_usage/organisation_usage.hpp"

#include <algorithm>
#include <cmath>

namespace basilstream::daemon {
namespace {

constexpr auto shared_label = "other";

// Escapes a label value as the Prometheus text format asks for.
auto escaped(const std::string& text) -> std::string {
    auto value = std::string{};
    for (const auto letter : text) {
        if (letter == '"' || letter == '\\') {
            value.push_back('\\');
        }
        value.push_back(letter);
    }
    return value;
}

} // namespace

auto organisation_usage::counters_of(const std::string& organisation)
    -> organisation_counters& {
    const auto found = counters_.find(organisation);
    if (found != counters_.end()) {
        return found->second;
    }
    if (counters_.size() >= max_labels_ && organisation != shared_label) {
        return counters_of(shared_label);
    }
    const auto label = "organisation=\"" + escaped(organisation) + "\"";
    const auto add_refused = [&](refusal_kind kind) {
        return &metrics_.add_counter(
            "basilstream_organisation_refused_total",
            "Requests of an organisation that were refused as not run.",
            label + ",cause=\"" +
                std::string{refusal_kind_names.name_of(kind)} + "\"");
    };
    return counters_
        .emplace(
            organisation,
            organisation_counters{
                metrics_.add_counter(
                    "basilstream_organisation_admitted_total",
                    "Requests of an organisation that were admitted.", label),
                metrics_.add_counter("basilstream_organisation_units_total",
                                     "Units of its allowance that they cost.",
                                     label),
                {add_refused(refusal_kind::allowance),
                 add_refused(refusal_kind::capacity)}})
        .first->second;
}

auto organisation_usage::on_admitted(const std::string& organisation,
                                     double units) -> void {
    auto& counters = counters_of(organisation);
    counters.admitted_.add();
    counters.units_.add(
        static_cast<std::uint64_t>(std::llround(std::max(units, 0.0))));
}

auto organisation_usage::on_refused(const std::string& organisation,
                                    refusal_kind kind) -> void {
    counters_of(organisation)
        .refused_.at(static_cast<std::size_t>(kind))
        ->add();
}

} // namespace basilstream::daemon
