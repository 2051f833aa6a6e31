#include "basilstream/protocol/engine_api/engine_api.hpp"

#include <cstdlib>

#include "basilstream/protocol/json/json.hpp"

namespace basilstream::protocol {
namespace {

constexpr auto text_prefix = std::string_view{R"({"text":")"};
constexpr auto text_suffix = std::string_view{R"("})"};
constexpr auto hexadecimal = 16;

// Returns the inside of {"text":"..."} when `data` has exactly that form.
auto plain_text(std::string_view data) -> std::string_view {
    if (!data.starts_with(text_prefix) || !data.ends_with(text_suffix) ||
        data.size() < text_prefix.size() + text_suffix.size()) {
        return {};
    }
    const auto inside =
        data.substr(text_prefix.size(),
                    data.size() - text_prefix.size() - text_suffix.size());
    for (auto index = std::size_t{0}; index < inside.size(); ++index) {
        if (static_cast<unsigned char>(inside[index]) < ' ' ||
            inside[index] == '"') {
            return {};
        }
        if (inside[index] == '\\' && ++index == inside.size()) {
            return {};
        }
    }
    return inside;
}

auto malformed(step at, std::string_view peer, std::string detail) {
    return tl::unexpected(error{error_code::backend_error, at,
                                std::string{peer}, std::move(detail),
                                run_status::unknown});
}

// Calls `read` on the parsed object; any missing or mistyped key is an error.
template <class Value, class Reader>
auto parse_object(std::string_view body, std::string_view peer, step at,
                  Reader read) -> result<Value> {
    auto document = parse_json(body, peer, at);
    if (!document || !document->is_object()) {
        return malformed(at, peer, "answer is not a JSON object");
    }
    try {
        return read(*document);
    } catch (const json::exception& failure) {
        return malformed(at, peer, failure.what());
    }
}

auto read_resident(const json& entry) -> reported_model {
    return {entry.at("model"),           entry.value("adapter", ""),
            entry.value("version", ""),  entry.value("bytes", std::uint64_t{0}),
            entry.value("order_id", ""), entry.value("state", "ready")};
}

auto read_report(const json& document) -> engine_report {
    auto report = engine_report{};
    report.boot_id_ = document.at("boot_id");
    report.sequence_ = document.value("sequence", std::uint64_t{0});
    report.memory_bytes_ = document.at("memory_bytes");
    report.used_bytes_ = document.value("used_bytes", std::uint64_t{0});
    report.leaving_ = document.value("leaving", false);
    report.running_ = document.value("running", 0);
    report.waiting_ = document.value("waiting", 0);
    report.slots_ = document.value("slots", 1);
    for (const auto& entry : document.value("residents", json::array())) {
        report.residents_.push_back(read_resident(entry));
    }
    for (const auto& entry : document.value("finished_orders", json::array())) {
        report.finished_.push_back({entry.at("order_id"), entry.at("outcome"),
                                    entry.value("detail", "")});
    }
    return report;
}

auto read_cache_events(const json& document) -> engine_cache_events {
    auto read = engine_cache_events{};
    read.next_ = document.at("next");
    for (const auto& entry : document.at("events")) {
        const auto hash = entry.at("prefix_hash").get<std::string>();
        read.events_.push_back(
            {entry.at("sequence"), entry.at("kind") == "stored",
             entry.at("model"),
             std::strtoull(hash.c_str(), nullptr, hexadecimal)});
    }
    return read;
}

auto read_vm(const json& entry) -> std::optional<listed_vm> {
    const auto kind =
        vm_kind_names.parse(entry.at("kind").get_ref<const std::string&>());
    if (!kind) {
        return std::nullopt;
    }
    return listed_vm{entry.at("name"),
                     entry.at("address"),
                     entry.value("peer_address", ""),
                     entry.value("service", ""),
                     *kind,
                     entry.value("zone", ""),
                     entry.value("state", "live") != "live",
                     entry.value("memory_bytes", std::uint64_t{0})};
}

auto read_vm_list(const json& document) -> std::vector<listed_vm> {
    auto listed = std::vector<listed_vm>{};
    for (const auto& entry : document.at("vms")) {
        if (auto vm = read_vm(entry)) {
            listed.push_back(std::move(*vm));
        }
    }
    return listed;
}

} // namespace

auto completion_body(const engine_completion& completion) -> std::string {
    auto body = json{{"model", completion.model_},
                     {"prompt", completion.prompt_},
                     {"max_tokens", completion.max_tokens_},
                     {"priority", completion.priority_},
                     {"request_id", completion.request_id_},
                     {"attempt", completion.attempt_}};
    if (!completion.adapter_.empty()) {
        body["adapter"] = completion.adapter_;
    }
    if (!completion.version_.empty()) {
        body["version"] = completion.version_;
    }
    if (completion.resume_position_ > 0) {
        body["resume_position"] = completion.resume_position_;
    }
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

auto cancel_body(std::string_view request_id, std::uint32_t attempt)
    -> std::string {
    return json{{"request_id", request_id}, {"attempt", attempt}}.dump();
}

auto event_reader::feed(std::string_view bytes,
                        const std::function<bool(const engine_event&)>& consume)
    -> bool {
    while (!bytes.empty()) {
        const auto end = bytes.find('\n');
        if (end == std::string_view::npos) {
            partial_.append(bytes);
            return partial_.size() <= max_event_bytes_;
        }
        auto line = bytes.substr(0, end);
        bytes.remove_prefix(end + 1);
        const auto whole = partial_.empty();
        if (!whole) {
            partial_.append(line);
            line = partial_;
        }
        const auto accepted =
            line.size() <= max_event_bytes_ && take_line(line, consume);
        partial_.clear();
        if (!accepted) {
            return false;
        }
    }
    return true;
}

auto event_reader::take_line(
    std::string_view line,
    const std::function<bool(const engine_event&)>& consume) -> bool {
    if (line.ends_with('\r')) {
        line.remove_suffix(1);
    }
    if (line.starts_with("id: ")) {
        id_ = line.substr(4);
        return true;
    }
    if (line.starts_with("data: ")) {
        data_ = line.substr(6);
        return true;
    }
    if (!line.empty() || data_.empty()) {
        // A comment (heartbeat), an unknown field, or an empty event.
        return true;
    }
    auto event = engine_event{id_, plain_text(data_), {}};
    if (event.escaped_text_.empty()) {
        const auto document = json::parse(data_, nullptr, false);
        if (!document.is_object()) {
            return false;
        }
        if (document.contains("finish") && document["finish"].is_string()) {
            decoded_ = document["finish"].get_ref<const std::string&>();
            event.finish_ = decoded_;
        } else if (document.contains("text") && document["text"].is_string()) {
            decoded_ = document["text"].dump();
            event.escaped_text_ =
                std::string_view{decoded_}.substr(1, decoded_.size() - 2);
        } else {
            return false;
        }
    }
    const auto go_on = consume(event);
    data_.clear();
    return go_on;
}

auto parse_report(std::string_view body, std::string_view peer)
    -> result<engine_report> {
    return parse_object<engine_report>(body, peer, step::runner, read_report);
}

auto parse_cache_events(std::string_view body, std::string_view peer)
    -> result<engine_cache_events> {
    return parse_object<engine_cache_events>(body, peer, step::runner,
                                             read_cache_events);
}

auto order_body(const engine_order& order) -> std::string {
    return json{{"order_id", order.order_id_}, {"fencing", order.fencing_},
                {"shard", order.shard_},       {"action", order.action_},
                {"model", order.model_},       {"adapter", order.adapter_},
                {"version", order.version_},   {"bytes", order.bytes_},
                {"role", order.role_}}
        .dump();
}

auto parse_vm_list(std::string_view body, std::string_view peer)
    -> result<std::vector<listed_vm>> {
    return parse_object<std::vector<listed_vm>>(body, peer, step::vm_list,
                                                read_vm_list);
}

} // namespace basilstream::protocol
