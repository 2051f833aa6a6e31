#include "basilstream/daemon/relay/internal/forwarding_fields.hpp"

#include <array>
#include <charconv>

namespace basilstream::daemon::internal {
namespace {

constexpr auto key_field = "Forwarding-Key";
constexpr auto runs_field = "Forwarding-Runs";
constexpr auto config_field = "Forwarding-Config";
constexpr auto version_field = "Forwarding-Version";
constexpr auto outcome_field = "Forwarding-Outcome";
constexpr auto server_field = "Forwarding-Server";
constexpr auto organisation_field = "Forwarding-Organisation";
constexpr auto all_fields =
    std::array{key_field,     runs_field,   config_field,      version_field,
               outcome_field, server_field, organisation_field};

template <class Number>
auto read_number(std::string_view text) -> std::optional<Number> {
    auto value = Number{};
    const auto* const last = text.data() + text.size();
    const auto [end, failure] = std::from_chars(text.data(), last, value);
    return failure == std::errc{} && end == last && !text.empty()
               ? std::optional{value}
               : std::nullopt;
}

} // namespace

auto erase_forwarding_fields(transport::header_list& headers) -> void {
    for (const auto* const field : all_fields) {
        headers.erase(field);
    }
}

auto write_forwarding_fields(const forwarding_order& order,
                             transport::header_list& headers) -> void {
    erase_forwarding_fields(headers);
    headers.add(key_field, order.key_);
    headers.add(runs_field, std::to_string(order.runs_));
    headers.add(config_field, std::to_string(order.config_version_));
    if (order.stream_version_) {
        headers.add(version_field, *order.stream_version_);
    }
    if (!order.organisation_.empty()) {
        headers.add(organisation_field, order.organisation_);
    }
}

auto read_forwarding_fields(const transport::header_list& headers)
    -> std::optional<forwarding_order> {
    const auto runs = read_number<int>(headers.find(runs_field));
    const auto config = read_number<std::uint64_t>(headers.find(config_field));
    if (!runs || !config || *runs < 1) {
        return std::nullopt;
    }
    auto order =
        forwarding_order{std::string{headers.find(key_field)}, *runs, *config};
    order.organisation_ = headers.find(organisation_field);
    if (headers.contains(version_field)) {
        order.stream_version_ = std::string{headers.find(version_field)};
    }
    return order;
}

auto write_forwarding_outcome(const forwarding_result& result,
                              transport::header_list& headers) -> void {
    erase_forwarding_fields(headers);
    headers.add(outcome_field,
                std::string{forwarding_outcome_names.name_of(result.kind_)});
    if (!result.server_.empty()) {
        headers.add(server_field, result.server_);
    }
}

auto read_forwarding_outcome(const transport::header_list& headers)
    -> forwarding_result {
    const auto text = headers.find(outcome_field);
    for (const auto kind :
         {forwarding_outcome::answered, forwarding_outcome::not_run,
          forwarding_outcome::unreached}) {
        if (text == forwarding_outcome_names.name_of(kind)) {
            return {kind, std::string{headers.find(server_field)}};
        }
    }
    return {};
}

} // namespace basilstream::daemon::internal
