#include "basilstream/state/resource/resource.hpp"

#include <algorithm>

namespace basilstream::state {
namespace {

auto is_name_character(char letter) -> bool {
    return (letter >= 'a' && letter <= 'z') ||
           (letter >= '0' && letter <= '9') || letter == '.' || letter == '_' ||
           letter == '-';
}

auto is_name(std::string_view text) -> bool {
    return !text.empty() && text.size() <= max_name_length &&
           std::all_of(text.begin(), text.end(), is_name_character);
}

auto are_names(const std::vector<std::string>& texts) -> bool {
    return texts.size() <= max_list_length &&
           std::all_of(texts.begin(), texts.end(),
                       [](const auto& text) { return is_name(text); });
}

auto is_token_hash(std::string_view text) -> bool {
    constexpr auto sha256_digits = std::size_t{64};
    return text.size() == sha256_digits &&
           text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

auto is_replica_count(std::uint32_t count) -> bool {
    return count >= 1 && count <= max_replicas;
}

auto defect_of(const organisation_resource& value) -> std::string {
    if (!is_name(value.name_)) {
        return "name is malformed";
    }
    if (value.token_hashes_.size() > max_list_length) {
        return "too many token hashes";
    }
    if (!std::all_of(value.token_hashes_.begin(), value.token_hashes_.end(),
                     is_token_hash)) {
        return "a token hash is not 64 lower-case hexadecimal digits";
    }
    if (value.labels_.size() > max_list_length) {
        return "too many labels";
    }
    // The negated comparison refuses NaN as well.
    if (!(value.move_price_ >= 0.0) || value.weight_ == 0) {
        return "weight must be positive and move price not negative";
    }
    return {};
}

auto defect_of(const model_resource& value) -> std::string {
    if (!is_name(value.organisation_) || !is_name(value.name_)) {
        return "organisation or name is malformed";
    }
    if (value.versions_.empty() || !are_names(value.versions_)) {
        return "versions are missing or malformed";
    }
    if (!are_names(value.zones_)) {
        return "availability zones are malformed";
    }
    if (value.memory_bytes_ == 0) {
        return "memory must be positive";
    }
    return is_replica_count(value.minimum_replicas_)
               ? std::string{}
               : "minimum replicas must be 1 to 64";
}

auto defect_of(const adapter_resource& value) -> std::string {
    if (!is_name(value.organisation_) || !is_name(value.name_) ||
        !is_name(value.model_)) {
        return "organisation, name or model is malformed";
    }
    if (value.memory_bytes_ == 0) {
        return "memory must be positive";
    }
    return is_replica_count(value.minimum_replicas_)
               ? std::string{}
               : "minimum replicas must be 1 to 64";
}

auto defect_of(const service_resource& value) -> std::string {
    if (!is_name(value.organisation_) || !is_name(value.name_)) {
        return "organisation or name is malformed";
    }
    if (!are_names(value.zones_)) {
        return "availability zones are malformed";
    }
    return value.non_idempotent_methods_.size() <= max_list_length
               ? std::string{}
               : "too many methods";
}

auto name_of(const organisation_resource& value) -> std::string {
    return value.name_;
}

auto name_of(const model_resource& value) -> std::string {
    return qualified_name(value.organisation_, value.name_);
}

auto name_of(const adapter_resource& value) -> std::string {
    return qualified_name(qualified_name(value.organisation_, value.model_),
                          value.name_);
}

auto name_of(const service_resource& value) -> std::string {
    return qualified_name(value.organisation_, value.name_);
}

} // namespace

auto kind_of(const resource& value) -> resource_kind {
    return static_cast<resource_kind>(value.index());
}

auto qualified_name(std::string_view organisation, std::string_view name)
    -> std::string {
    auto joined = std::string{organisation};
    joined += '/';
    joined += name;
    return joined;
}

auto full_name(const resource& value) -> std::string {
    return std::visit([](const auto& typed) { return name_of(typed); }, value);
}

auto key_of(const resource& value) -> resource_key {
    return {kind_of(value), full_name(value)};
}

auto find_defect(const resource& value) -> std::string {
    return std::visit([](const auto& typed) { return defect_of(typed); },
                      value);
}

} // namespace basilstream::state
