#include "basilstream/daemon/api/api.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdlib>

#include "basilstream/protocol/resources/resources.hpp"

namespace basilstream::daemon {
namespace {

constexpr auto bearer_prefix = std::string_view{"Bearer "};
constexpr auto services_path = std::string_view{"/services/"};
constexpr auto max_deadline = milliseconds{3'600'000};
constexpr auto max_idempotency_key_bytes = std::size_t{256};
// Retry-After value when the daemon is starting, stopping or overloaded.
constexpr auto busy_retry_after = milliseconds{1000};
// Request headers that are forwarded from the caller to a service.
constexpr auto forwarded_headers =
    std::array{"accept", "content-type", "accept-language", "user-agent"};

auto unix_seconds() -> std::int64_t {
    return std::chrono::duration_cast<std::chrono::seconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

auto json_header() -> transport::header_list {
    return {{"Content-Type", "application/json"}};
}

auto query_string(const transport::http_request& request) -> std::string {
    constexpr auto digits = std::string_view{"0123456789ABCDEF"};
    const auto encode = [digits](const std::string& text) {
        auto encoded = std::string{};
        for (const auto byte : text) {
            const auto code = static_cast<unsigned char>(byte);
            if (std::isalnum(code) != 0 || byte == '-' || byte == '_' ||
                byte == '.' || byte == '~') {
                encoded.push_back(byte);
            } else {
                encoded.push_back('%');
                encoded.push_back(digits[code >> 4U]);
                encoded.push_back(digits[code & 0xfU]);
            }
        }
        return encoded;
    };
    auto text = std::string{};
    for (const auto& [name, value] : request.query_) {
        text += text.empty() ? "?" : "&";
        text += encode(name);
        text += "=";
        text += encode(value);
    }
    return text;
}

// Returns whether the path could escape the service's path prefix or corrupt
// the request line sent to the backend.
auto is_unsafe_path(std::string_view path) -> bool {
    return std::any_of(path.begin(), path.end(),
                       [](char byte) {
                           return static_cast<unsigned char>(byte) <= ' ' ||
                                  byte == '\x7f' || byte == '#' || byte == '?';
                       }) ||
           path.find("/../") != std::string_view::npos || path.ends_with("/..");
}

} // namespace

// State of one HTTP request, passed from the route to the control thread.
struct api::call {
    transport::http_request request_;
    transport::http_exchange_ptr reply_;
    std::string id_;
    time_point arrived_;
    milliseconds deadline_{};
    std::string token_hash_;
    std::string organisation_;
    protocol::completion_call completion_;
    span span_;
};

api::api(const context& base, api_parts parts)
    : base_{base}, parts_{parts}, id_seed_{base.random_.next()} {}

auto api::handler() -> transport::http_handler {
    return [this](transport::http_request request,
                  transport::http_exchange_ptr reply) {
        route(std::move(request), std::move(reply));
    };
}

auto api::route(transport::http_request request,
                transport::http_exchange_ptr reply) -> void {
    static constexpr auto routes = std::array{
        route_row{"POST", "/v1/completions", false, &api::text_completion},
        route_row{"POST", "/v1/chat/completions", false, &api::chat_completion},
        route_row{"GET", "/v1/models", false, &api::models},
        route_row{"GET", "/v1/endpoints", false, &api::endpoints},
        route_row{"GET", "/healthz", false, &api::health},
        route_row{"GET", "/readyz", false, &api::readiness},
        route_row{"GET", "/metrics", false, &api::metrics},
        route_row{"*", services_path.data(), true, &api::service},
    };
    auto received = std::make_shared<call>();
    received->arrived_ = base_.clock_.now();
    received->reply_ = std::move(reply);
    auto ids = seeded_random{id_seed_ + next_request_.fetch_add(1)};
    received->id_ = make_id(ids);
    received->request_ = std::move(request);
    const auto& path = received->request_.path_;
    auto path_matched = false;
    for (const auto& row : routes) {
        if (row.prefix_ ? !path.starts_with(row.path_) : path != row.path_) {
            continue;
        }
        path_matched = true;
        if (row.method_[0] == '*' ||
            received->request_.method_ == row.method_) {
            (this->*row.member_)(received);
            return;
        }
    }
    refuse(
        received,
        {path_matched ? error_code::invalid_argument : error_code::not_found,
         step::caller,
         {},
         path_matched ? "method not allowed for this path" : "no such path"});
}

auto api::refuse(const call_ptr& received, const error& failure) -> void {
    auto headers = json_header();
    headers.emplace_back("X-Request-Id", received->id_);
    if (auto retry_after = protocol::retry_after_header(failure);
        !retry_after.empty()) {
        headers.emplace_back("Retry-After", std::move(retry_after));
    }
    received->reply_->respond(http_status(failure.code_), std::move(headers),
                              protocol::error_body(failure, received->id_));
}

auto api::post_to_control(const call_ptr& received,
                          void (api::*member)(const call_ptr&)) -> void {
    const auto is_queued = base_.control_.post(
        [this, received, member] { (this->*member)(received); });
    if (!is_queued) {
        refuse(received, {error_code::overloaded,
                          step::admission,
                          {},
                          "the control thread is overloaded or stopped",
                          run_status::not_run,
                          busy_retry_after});
    }
}

auto api::text_completion(const call_ptr& received) -> void {
    completion(received, protocol::completion_style::text);
}

auto api::chat_completion(const call_ptr& received) -> void {
    completion(received, protocol::completion_style::chat);
}

auto api::completion(const call_ptr& received, protocol::completion_style style)
    -> void {
    auto parsed = protocol::parse_completion(received->request_.body_, style);
    if (!parsed) {
        refuse(received, parsed.error());
        return;
    }
    received->completion_ = std::move(*parsed);
    received->request_.body_ = {};
    post_to_control(received, &api::start_completion);
}

auto api::service(const call_ptr& received) -> void {
    if (is_unsafe_path(received->request_.path_)) {
        refuse(received,
               {error_code::invalid_argument,
                step::caller,
                {},
                "the path contains a '..' segment or a character that is not "
                "allowed"});
        return;
    }
    post_to_control(received, &api::start_service);
}

auto api::models(const call_ptr& received) -> void {
    post_to_control(received, &api::answer_models);
}

auto api::endpoints(const call_ptr& received) -> void {
    post_to_control(received, &api::answer_endpoints);
}

auto api::health(const call_ptr& received) -> void {
    received->reply_->respond(200, json_header(), R"({"status":"ok"})");
}

auto api::readiness(const call_ptr& received) -> void {
    post_to_control(received, &api::answer_readiness);
}

auto api::metrics(const call_ptr& received) -> void {
    received->reply_->respond(200,
                              {{"Content-Type", "text/plain; version=0.0.4"}},
                              parts_.telemetry_.registry_.prometheus_text());
}

auto api::rebuild_token_index() -> void {
    tokens_.clear();
    for (const auto* entry : parts_.log_.state().resources()) {
        const auto* organisation =
            std::get_if<state::organisation_resource>(&entry->resource_);
        if (organisation == nullptr) {
            continue;
        }
        for (const auto& hash : organisation->token_hashes_) {
            tokens_[hash] = organisation->name_;
        }
    }
}

auto api::ready() const -> bool {
    return parts_.log_.ready() && parts_.fleet_.has_vm_list() &&
           accepting_.load();
}

auto api::authenticate(const call_ptr& received) -> bool {
    if (!ready()) {
        refuse(received,
               {error_code::not_ready,
                step::admission,
                {},
                accepting_.load() ? "the daemon has not loaded its state yet"
                                  : "the daemon is stopping",
                run_status::not_run,
                busy_retry_after});
        return false;
    }
    const auto header = received->request_.header("authorization");
    const auto found = header.starts_with(bearer_prefix)
                           ? tokens_.find(protocol::token_hash(
                                 header.substr(bearer_prefix.size())))
                           : tokens_.end();
    if (found == tokens_.end()) {
        refuse(received, {error_code::unauthenticated,
                          step::authentication,
                          {},
                          "a valid bearer token is required"});
        return false;
    }
    received->organisation_ = found->second;
    received->deadline_ = parts_.settings_.requests_.deadline_;
    const auto deadline =
        std::string{received->request_.header("x-request-deadline-ms")};
    if (!deadline.empty()) {
        char* end = nullptr;
        const auto value = std::strtol(deadline.c_str(), &end, 10);
        if (*end != '\0' || value < 1 || value > max_deadline.count()) {
            refuse(
                received,
                {error_code::invalid_argument,
                 step::caller,
                 {},
                 "X-Request-Deadline-Ms must be an integer from 1 to 3600000"});
            return false;
        }
        received->deadline_ = milliseconds{value};
    }
    const auto open_requests =
        parts_.completions_.open() + parts_.services_.open();
    if (open_requests >= parts_.settings_.requests_.max_open_requests_) {
        refuse(received, {error_code::overloaded,
                          step::admission,
                          {},
                          "too many open requests",
                          run_status::not_run,
                          busy_retry_after});
        return false;
    }
    received->span_ = parts_.telemetry_.traces_.start(
        "caller", received->request_.header("traceparent"));
    received->span_.tag("request_id", received->id_);
    return true;
}

auto api::start_completion(const call_ptr& received) -> void {
    if (!authenticate(received)) {
        return;
    }
    auto& completion_request = received->completion_;
    const auto* model =
        parts_.log_.state().find_model(completion_request.model_);
    // A model of another organisation is reported as not found, so that callers
    // cannot tell whether it exists.
    auto is_visible =
        model != nullptr && model->organisation_ == received->organisation_;
    if (is_visible && !completion_request.adapter_.empty()) {
        is_visible = parts_.log_.state().find_resource(
                         {state::resource_kind::adapter,
                          completion_request.model_ + "/" +
                              completion_request.adapter_}) != nullptr;
    }
    if (!is_visible) {
        refuse(received, {error_code::not_found,
                          step::routing,
                          {},
                          "no such model: " + completion_request.model_ +
                              (completion_request.adapter_.empty()
                                   ? ""
                                   : ":" + completion_request.adapter_)});
        return;
    }
    parts_.completions_.submit({.request_id_ = received->id_,
                                .organisation_ = received->organisation_,
                                .call_ = std::move(completion_request),
                                .versions_ = model->versions_,
                                .priority_ = model->priority_,
                                .arrived_ = received->arrived_,
                                .deadline_ = received->deadline_,
                                .caller_ = received->reply_,
                                .unix_time_ = unix_seconds(),
                                .span_ = std::move(received->span_)});
}

auto api::start_service(const call_ptr& received) -> void {
    if (!authenticate(received)) {
        return;
    }
    auto& request = received->request_;
    const auto service_path =
        std::string_view{request.path_}.substr(services_path.size());
    const auto first_slash = service_path.find('/');
    const auto second_slash = first_slash == std::string_view::npos
                                  ? first_slash
                                  : service_path.find('/', first_slash + 1);
    const auto name = std::string{service_path.substr(0, second_slash)};
    const auto* found = parts_.log_.state().find_resource(
        {state::resource_kind::service, name});
    const auto* service_definition =
        found == nullptr
            ? nullptr
            : std::get_if<state::service_resource>(&found->resource_);
    if (service_definition == nullptr ||
        service_definition->organisation_ != received->organisation_) {
        refuse(received, {error_code::not_found,
                          step::routing,
                          {},
                          "no such service: " + name});
        return;
    }
    const auto key = std::string{request.header("idempotency-key")};
    if (key.size() > max_idempotency_key_bytes) {
        refuse(received, {error_code::invalid_argument,
                          step::caller,
                          {},
                          "Idempotency-Key must be at most 256 bytes"});
        return;
    }
    const auto& non_idempotent_methods =
        service_definition->non_idempotent_methods_;
    auto headers = transport::header_list{};
    for (const auto* header : forwarded_headers) {
        if (const auto value = request.header(header); !value.empty()) {
            headers.emplace_back(header, value);
        }
    }
    const auto target = (second_slash == std::string_view::npos
                             ? std::string{"/"}
                             : std::string{service_path.substr(second_slash)}) +
                        query_string(request);
    parts_.services_.submit(
        {.request_id_ = received->id_,
         .organisation_ = received->organisation_,
         .service_ = name,
         .method_ = request.method_,
         .target_ = target,
         .headers_ = std::move(headers),
         .body_ = std::move(request.body_),
         .idempotent_ =
             std::find(non_idempotent_methods.begin(),
                       non_idempotent_methods.end(),
                       request.method_) == non_idempotent_methods.end(),
         .idempotency_key_ = key,
         .priority_ = service_definition->priority_,
         .arrived_ = received->arrived_,
         .deadline_ = received->deadline_,
         .caller_ = received->reply_,
         .span_ = std::move(received->span_)});
}

auto api::answer_models(const call_ptr& received) -> void {
    if (!authenticate(received)) {
        return;
    }
    auto lines = std::vector<protocol::model_line>{};
    for (const auto* entry : parts_.log_.state().resources()) {
        if (const auto* model =
                std::get_if<state::model_resource>(&entry->resource_);
            model != nullptr &&
            model->organisation_ == received->organisation_) {
            lines.push_back(
                {state::full_name(entry->resource_), model->organisation_});
        } else if (const auto* adapter =
                       std::get_if<state::adapter_resource>(&entry->resource_);
                   adapter != nullptr &&
                   adapter->organisation_ == received->organisation_) {
            lines.push_back({adapter->organisation_ + "/" + adapter->model_ +
                                 ":" + adapter->name_,
                             adapter->organisation_});
        }
    }
    received->reply_->respond(200, json_header(), protocol::models_body(lines));
}

auto api::answer_endpoints(const call_ptr& received) -> void {
    const auto answer = parts_.cluster_.endpoints(
        std::string{received->request_.query("zone")});
    if (!answer) {
        refuse(received, answer.error());
        return;
    }
    received->reply_->respond(
        200, json_header(),
        protocol::endpoints_body(answer->addresses_,
                                 answer->time_to_live_.count()));
}

auto api::answer_readiness(const call_ptr& received) -> void {
    if (ready()) {
        received->reply_->respond(200, json_header(), R"({"status":"ready"})");
        return;
    }
    refuse(received,
           {error_code::not_ready,
            step::state,
            {},
            "log: " + std::string{coordination::replica_phase_names.name_of(
                          parts_.log_.phase())},
            run_status::not_run,
            busy_retry_after});
}

} // namespace basilstream::daemon
