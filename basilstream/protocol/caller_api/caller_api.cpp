#include "basilstream/protocol/caller_api/caller_api.hpp"

#include <algorithm>

#include "basilstream/protocol/json/json.hpp"

namespace basilstream::protocol {
namespace {

constexpr auto milliseconds_per_second = 1000;

auto bad_request(std::string detail) {
    return tl::unexpected(error{
        error_code::invalid_argument, step::caller, {}, std::move(detail)});
}

auto dump(const json& document) -> std::string {
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

auto read_messages(const json& document) -> result<std::string> {
    if (!document.contains("messages") || !document["messages"].is_array() ||
        document["messages"].empty()) {
        return bad_request("key messages: required, a list of at least one");
    }
    auto prompt = std::string{};
    for (const auto& message : document["messages"]) {
        if (!message.is_object() || !message.contains("role") ||
            !message["role"].is_string() || !message.contains("content") ||
            !message["content"].is_string()) {
            return bad_request("key messages: each needs role and content, "
                               "both strings");
        }
        prompt += message["role"].get_ref<const std::string&>();
        prompt += ": ";
        prompt += message["content"].get_ref<const std::string&>();
        prompt += "\n";
    }
    return prompt;
}

auto read_prompt(const json& document, completion_style style)
    -> result<std::string> {
    if (style == completion_style::chat) {
        return read_messages(document);
    }
    if (!document.contains("prompt") || !document["prompt"].is_string()) {
        return bad_request("key prompt: required, a string");
    }
    return document["prompt"].get<std::string>();
}

auto split_model(const std::string& name, completion_call& call) -> bool {
    const auto slash = name.find('/');
    const auto colon = name.find(':');
    call.model_ = name.substr(0, colon);
    if (colon != std::string::npos) {
        call.adapter_ = name.substr(colon + 1);
    }
    return slash != std::string::npos && slash > 0 &&
           slash + 1 < call.model_.size() &&
           (colon == std::string::npos || !call.adapter_.empty());
}

auto read_max_tokens(const json& document) -> result<std::uint64_t> {
    for (const auto* key : {"max_tokens", "max_completion_tokens"}) {
        if (!document.contains(key) || document[key].is_null()) {
            continue;
        }
        if (!document[key].is_number_unsigned() ||
            document[key].get<std::uint64_t>() < 1 ||
            document[key].get<std::uint64_t>() >
                completion_limits::max_tokens_) {
            return bad_request(std::string{"key "} + key +
                               ": an integer from 1 to " +
                               std::to_string(completion_limits::max_tokens_));
        }
        return document[key].get<std::uint64_t>();
    }
    return completion_limits::default_tokens_;
}

auto error_object(const error& failure, std::string_view request_id) -> json {
    return {{"error",
             {{"code", error_code_names.name_of(failure.code_)},
              {"run", run_status_names.name_of(failure.run_)},
              {"step", step_names.name_of(failure.step_)},
              {"peer", failure.peer_},
              {"request_id", request_id},
              {"message", failure.detail_}}}};
}

auto object_name(completion_style style, bool chunk) -> const char* {
    if (style == completion_style::text) {
        return "text_completion";
    }
    return chunk ? "chat.completion.chunk" : "chat.completion";
}

} // namespace

auto parse_completion(std::string_view body, completion_style style)
    -> result<completion_call> {
    auto document = parse_json(body, {}, step::caller);
    if (!document) {
        return tl::unexpected(document.error());
    }
    if (!document->is_object()) {
        return bad_request("body: must be a JSON object");
    }
    auto call = completion_call{.style_ = style};
    if (!document->contains("model") || !(*document)["model"].is_string() ||
        !split_model((*document)["model"].get<std::string>(), call)) {
        return bad_request("key model: required, organisation/model or "
                           "organisation/model:adapter");
    }
    auto prompt = read_prompt(*document, style);
    if (!prompt) {
        return tl::unexpected(prompt.error());
    }
    call.prompt_ = std::move(*prompt);
    if (call.prompt_.size() > completion_limits::max_prompt_bytes_) {
        return tl::unexpected(error{error_code::payload_too_large,
                                    step::caller,
                                    {},
                                    "prompt over the limit"});
    }
    const auto tokens = read_max_tokens(*document);
    if (!tokens) {
        return tl::unexpected(tokens.error());
    }
    call.max_tokens_ = *tokens;
    if (document->contains("stream")) {
        if (!(*document)["stream"].is_boolean()) {
            return bad_request("key stream: true or false");
        }
        call.stream_ = (*document)["stream"];
    }
    return call;
}

chunk_writer::chunk_writer(const answer_identity& identity) {
    const auto chat = identity.style_ == completion_style::chat;
    const auto head = R"(data: {"id":)" + dump(json(identity.request_id_)) +
                      R"(,"object":")" + object_name(identity.style_, true) +
                      R"(","created":)" + std::to_string(identity.created_) +
                      R"(,"model":)" + dump(json(identity.model_)) +
                      R"(,"choices":[{"index":0,)";
    before_text_ = head + (chat ? R"("delta":{"content":")" : R"("text":")");
    after_text_ = std::string{chat ? R"("})" : R"(")"} +
                  R"(,"finish_reason":null}]})" + "\n\n";
    before_finish_ = head + (chat ? R"("delta":{})" : R"("text":"")") +
                     R"(,"finish_reason":")";
    after_finish_ = std::string{R"("}]})"} + "\n\ndata: [DONE]\n\n";
}

auto chunk_writer::append_token(std::string& target,
                                std::string_view escaped_text) const -> void {
    target.append(before_text_).append(escaped_text).append(after_text_);
}

auto chunk_writer::append_finish(std::string& target,
                                 std::string_view finish) const -> void {
    target.append(before_finish_).append(finish).append(after_finish_);
}

auto stream_error(const error& failure, std::string_view request_id)
    -> std::string {
    return "event: error\ndata: " + dump(error_object(failure, request_id)) +
           "\n\n";
}

auto whole_answer(const answer_identity& identity,
                  std::string_view escaped_text, std::string_view finish,
                  std::uint64_t tokens) -> std::string {
    const auto chat = identity.style_ == completion_style::chat;
    auto body = R"({"id":)" + dump(json(identity.request_id_)) +
                R"(,"object":")" + object_name(identity.style_, false) +
                R"(","created":)" + std::to_string(identity.created_) +
                R"(,"model":)" + dump(json(identity.model_)) +
                R"(,"choices":[{"index":0,)";
    body +=
        chat ? R"("message":{"role":"assistant","content":")" : R"("text":")";
    body.append(escaped_text);
    body += chat ? R"("})" : R"(")";
    body += R"(,"finish_reason":")";
    body.append(finish);
    body +=
        R"("}],"usage":{"completion_tokens":)" + std::to_string(tokens) + "}}";
    return body;
}

auto error_body(const error& failure, std::string_view request_id)
    -> std::string {
    return dump(error_object(failure, request_id));
}

auto retry_after_header(const error& failure) -> std::string {
    if (!failure.retry_after_) {
        return {};
    }
    const auto rounded =
        (failure.retry_after_->count() + milliseconds_per_second - 1) /
        milliseconds_per_second;
    return std::to_string(std::max<std::int64_t>(rounded, 1));
}

auto models_body(const std::vector<model_line>& models) -> std::string {
    auto list = json::array();
    for (const auto& model : models) {
        list.push_back({{"id", model.name_},
                        {"object", "model"},
                        {"owned_by", model.organisation_}});
    }
    return dump({{"object", "list"}, {"data", list}});
}

auto endpoints_body(const std::vector<std::string>& addresses,
                    std::int64_t time_to_live_ms) -> std::string {
    return dump(
        {{"addresses", addresses}, {"time_to_live_ms", time_to_live_ms}});
}

} // namespace basilstream::protocol
