// Test fixture: a relay, scripted backend servers and test clients on one
// reactor thread, connected over loopback TCP.
#pragma once

#include <functional>
#include <future>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "basilstream/daemon/relay/relay.hpp"
#include "basilstream/transport/tcp_stream/tcp_stream.hpp"

namespace basilstream::daemon {

// Dialect that reads and writes annotations as X-... header fields.
class test_dialect final : public backend_dialect {
public:
    [[nodiscard]] auto read(transport::request_message message) const
        -> result<relayed_request> override {
        auto request = relayed_request{};
        request.id_ = message.headers_.find("X-Id");
        request.host_ = message.headers_.find("Host");
        request.model_ = message.headers_.find("X-Model");
        request.adapter_ = message.headers_.find("X-Adapter");
        request.resumed_request_ = message.headers_.find("X-Resumes");
        if (!request.resumed_request_.empty() ||
            message.headers_.contains("X-Last")) {
            request.last_event_ = 1;
        }
        if (const auto text = message.headers_.find("X-Patience");
            !text.empty()) {
            request.client_timeout_ =
                milliseconds{std::stol(std::string{text})};
        }
        if (message.headers_.contains("X-Key")) {
            request.api_key_ = message.headers_.find("X-Key");
        }
        // Ids of single digits.
        for (const auto digit : message.headers_.find("X-Parts")) {
            request.prompt_parts_.push_back(
                {static_cast<std::uint64_t>(digit - '0'), 10});
        }
        request.message_ = std::move(message);
        return request;
    }

    [[nodiscard]] auto request_headers(const relayed_request& request,
                                       const relay_attempt& attempt) const
        -> transport::header_list override {
        auto headers = request.message_.headers_;
        if (attempt.authenticates_callers_) {
            headers.erase("X-Key");
            headers.erase("X-Organisation");
        }
        if (!attempt.organisation_.empty()) {
            headers.add("X-Organisation", attempt.organisation_);
        }
        headers.set("X-Urgency", std::to_string(attempt.urgency_));
        headers.set("X-Expect", attempt.backend_id_);
        if (attempt.resume_after_) {
            headers.set("X-Resume", std::to_string(*attempt.resume_after_));
        }
        return headers;
    }

    [[nodiscard]] auto classify_answer(const transport::answer_head& head,
                                       const std::string& request_id) const
        -> answer_verdict override {
        const auto refuses = head.headers_.contains("X-Misdirected") ||
                             head.headers_.contains("X-Not-Run");
        if (!names_request(head, request_id) &&
            (head.headers_.contains("X-Id") || !refuses)) {
            return answer_verdict::other_request;
        }
        if (head.headers_.contains("X-Misdirected")) {
            return answer_verdict::misdirected;
        }
        return head.headers_.contains("X-Not-Run") ? answer_verdict::refused
                                                   : answer_verdict::answer;
    }

    [[nodiscard]] auto names_request(const transport::answer_head& head,
                                     const std::string& request_id) const
        -> bool override {
        return head.headers_.find("X-Id") == request_id;
    }

    [[nodiscard]] auto rate_limit(const transport::header_list& headers) const
        -> per_second_notice override {
        const auto text = headers.find("X-Rate-Limit");
        using kind = per_second_notice::kind;
        return text.empty() ? per_second_notice{}
                            : per_second_notice{kind::valid,
                                                std::stod(std::string{text})};
    }
    [[nodiscard]] auto
    bearable_rejections(const transport::header_list& headers) const
        -> per_second_notice override {
        const auto text = headers.find("X-Bearable");
        using kind = per_second_notice::kind;
        return text.empty() ? per_second_notice{}
                            : per_second_notice{kind::valid,
                                                std::stod(std::string{text})};
    }
    [[nodiscard]] auto pause(int status,
                             const transport::header_list& headers) const
        -> pause_notice override {
        const auto text = headers.find("X-Pause");
        using kind = pause_notice::kind;
        return status != 503 || text.empty()
                   ? pause_notice{}
                   : pause_notice{kind::valid,
                                  milliseconds{std::stol(std::string{text})}};
    }
    [[nodiscard]] auto is_leaving(const std::string& /*backend*/,
                                  const transport::header_list& headers) const
        -> bool override {
        return headers.contains("X-Leaving");
    }
    [[nodiscard]] auto answer_headers(const transport::answer_head& head) const
        -> transport::header_list override {
        auto headers = transport::header_list{};
        headers.add("X-Id", std::string{head.headers_.find("X-Id")});
        headers.add("X-Server", std::string{head.headers_.find("X-Server")});
        return headers;
    }

    [[nodiscard]] auto
    local_reply_headers(const std::string& request_id,
                        std::optional<milliseconds> retry_after) const
        -> transport::header_list override {
        auto headers = transport::header_list{};
        headers.add("X-Id", request_id);
        if (retry_after) {
            headers.add("Retry-After", std::to_string(retry_after->count()));
        }
        return headers;
    }
};

class test_provisioner final : public model_provisioner {
public:
    auto on_request(const model_reference& /*model*/, std::int64_t /*tokens*/,
                    bool served, int urgency) -> void override {
        urgency_ = urgency;
        unserved_ += served ? 0 : 1;
    }
    [[nodiscard]] auto expected_wait(const model_reference& /*model*/) const
        -> std::optional<milliseconds> override {
        return wait_;
    }
    std::optional<milliseconds> wait_;
    int unserved_ = 0;
    // Of the last request; empty without one.
    std::optional<int> urgency_;
};

// Backend server that answers requests by scripts: `scripts_` in order of
// arrival, then `default_script_` for all further requests. A script gets the
// request and the connection to write to. A request is never answered if there
// is no script for it.
class test_backend {
public:
    struct connection final : transport::tcp_observer {
        test_backend* owner_ = nullptr;
        std::unique_ptr<transport::tcp_stream> stream_;
        transport::request_reader reader_{{}};
        bool closed_ = false;

        auto on_data(std::string_view bytes) -> void override {
            if (reader_.feed(bytes) == transport::read_state::complete) {
                owner_->on_request(reader_.take(), *this);
            }
        }
        auto on_closed(transport::close_reason /*reason*/) -> void override {
            closed_ = true;
            ++owner_->closed_;
            stream_.reset();
        }
        auto write(std::string_view bytes) -> void {
            if (stream_) {
                stream_->write(bytes);
            }
        }
        auto close() -> void { stream_.reset(); }
        auto reset() -> void { stream_->reset(); }
    };
    using script =
        std::function<void(const transport::request_message&, connection&)>;

    test_backend(transport::reactor_thread& thread, std::string id)
        : thread_{thread}, id_{std::move(id)} {
        listener_ =
            std::move(transport::tcp_listener::open(
                          thread_, "127.0.0.1:0",
                          [this](int descriptor) {
                              auto accepted = std::make_unique<connection>();
                              accepted->owner_ = this;
                              accepted->stream_ = transport::tcp_stream::adopt(
                                  thread_, descriptor, *accepted);
                              connections_.push_back(std::move(accepted));
                          })
                          .value());
    }

    auto on_request(const transport::request_message& request, connection& from)
        -> void {
        requests_.push_back(request);
        if (requests_.size() <= scripts_.size()) {
            scripts_[requests_.size() - 1](request, from);
        } else if (default_script_) {
            default_script_(request, from);
        }
    }

    [[nodiscard]] auto server(const std::string& service) const
        -> coordination::backend_server {
        auto description = coordination::backend_server{};
        description.id_ = id_;
        description.service_ = service;
        description.address_ = listener_->address();
        description.slots_ = 4;
        description.started_at_ = 1;
        description.software_version_ = software_version_;
        return description;
    }

    transport::reactor_thread& thread_;
    std::string id_;
    std::string software_version_ = "v1";
    std::unique_ptr<transport::tcp_listener> listener_;
    std::vector<std::unique_ptr<connection>> connections_;
    std::vector<transport::request_message> requests_;
    std::vector<script> scripts_;
    script default_script_;
    int closed_ = 0;
};

// Returns a script that sends an answer. A name in `extra_header` adds that
// header field with the value 1.
inline auto answer(int status, const std::string& body,
                   const std::string& extra_header = {})
    -> test_backend::script {
    return [=](const transport::request_message& request,
               test_backend::connection& to) {
        auto headers = transport::header_list{};
        headers.add("X-Id", std::string{request.headers_.find("X-Id")});
        headers.add("X-Server", to.owner_->id_);
        if (!extra_header.empty()) {
            headers.add(extra_header, "1");
        }
        to.write(transport::write_head(status, headers,
                                       transport::body_framing::length,
                                       body.size(), true) +
                 body);
    };
}

// Returns a script that refuses the request as not run.
inline auto refuse() -> test_backend::script {
    return answer(503, "", "X-Not-Run");
}

// Returns a script that closes the connection without an answer.
inline auto close_without_answer() -> test_backend::script {
    return [](const transport::request_message&, test_backend::connection& to) {
        to.close();
    };
}

// Returns a script that sends the head of a stream and nothing else.
inline auto send_stream_head() -> test_backend::script {
    return [=](const transport::request_message& request,
               test_backend::connection& to) {
        auto headers = transport::header_list{};
        headers.add("X-Id", std::string{request.headers_.find("X-Id")});
        headers.add("X-Server", to.owner_->id_);
        to.write(transport::write_head(
            200, headers, transport::body_framing::chunked, 0, true));
    };
}

// Returns a script that sends the head of a stream, then one event and the end
// of the stream after 1.6 s, which is longer than the progress time-out.
inline auto stream_after_delay() -> test_backend::script {
    return [](const transport::request_message& request,
              test_backend::connection& to) {
        send_stream_head()(request, to);
        to.owner_->thread_.after(milliseconds{1600}, [&to] {
            auto bytes = std::string{};
            transport::append_chunk(bytes, "data: x\n\n");
            bytes.append(transport::last_chunk);
            to.write(bytes);
        });
    };
}

// Returns a script that streams `text`, then ends the stream if `is_complete`,
// else closes the connection without ending the stream.
inline auto stream(const std::string& text, bool is_complete)
    -> test_backend::script {
    return [=](const transport::request_message& request,
               test_backend::connection& to) {
        send_stream_head()(request, to);
        auto bytes = std::string{};
        transport::append_chunk(bytes, text);
        if (is_complete) {
            bytes.append(transport::last_chunk);
        }
        to.write(bytes);
        if (!is_complete) {
            to.close();
        }
    };
}

// Answer as the client received it; `complete_` is false if it was truncated.
struct client_response {
    int status_ = 0;
    transport::header_list headers_;
    std::string body_;
    bool complete_ = false;
};

// Client with one request.
class test_client final : public transport::answer_observer {
public:
    auto on_answer_head(const transport::answer_head& head) -> bool override {
        response_.status_ = head.status_;
        response_.headers_ = head.headers_;
        return true;
    }
    auto on_answer_body(std::string_view piece) -> void override {
        response_.body_.append(piece);
        if (on_body_) {
            on_body_();
        }
    }
    auto on_answer_end() -> void override {
        response_.complete_ = true;
        done_.set_value();
    }
    auto on_call_failed(transport::call_failure /*failure*/) -> void override {
        done_.set_value();
    }

    client_response response_;
    std::promise<void> done_;
    std::function<void()> on_body_;
    std::shared_ptr<transport::http_call_connection> call_;
};

class relay_test : public ::testing::Test {
protected:
    explicit relay_test(
        transport::log_level log_level = transport::log_level::off)
        : thread_{"test", 1024}, log_{{log_level}, "test"},
          relay_{{clock_, random_, thread_, log_, metrics_, permits_, streams_,
                  notices_, forwarding_, allowances_},
                 {.address_ = "127.0.0.1:0",
                  .retry_ratio_ = 1,
                  .retry_allowance_ = 100,
                  .retry_hint_ = milliseconds{400}},
                 dialect_,
                 provisioner_},
          clients_{thread_, clock_}, a_{thread_, "a"}, b_{thread_, "b"} {
        EXPECT_TRUE(relay_.open());
        relay_.set_config(config());
        relay_.set_backend(a_.server("app"));
        thread_.every(milliseconds{5}, [this] { relay_.sweep(); });
    }
    ~relay_test() override { thread_.stop(); }

    static auto route(std::string prefix, coordination::request_kind kind,
                      bool resumable = false) -> coordination::relay_route {
        auto new_route = coordination::relay_route{};
        new_route.name_ = prefix;
        new_route.host_ = "x";
        new_route.path_prefix_ = std::move(prefix);
        new_route.kind_ = kind;
        new_route.attempts_ = 2;
        new_route.resumable_ = resumable;
        new_route.targets_ = {{"app", 1}};
        return new_route;
    }

    static auto config() -> std::shared_ptr<const coordination::relay_config> {
        using coordination::request_kind;
        auto new_config = std::make_shared<coordination::relay_config>();
        new_config->version_ = 1;
        new_config->routes_ = {
            route("/safe/", request_kind::idempotent),
            route("/once/", request_kind::non_idempotent),
            route("/stream/", request_kind::streaming),
            route("/resume/", request_kind::streaming, true),
            route("/single/", request_kind::streaming, true)};
        new_config->routes_.back().attempts_ = 1;
        new_config->services_ = {{.name_ = "app", .connection_limit_ = 50}};
        return new_config;
    }

    auto add_backend_b() -> void { relay_.set_backend(b_.server("app")); }

    // Runs `work` on the reactor thread and waits for it. Starts the thread on
    // the first call.
    auto run_on_thread(const std::function<void()>& work) -> void {
        if (!std::exchange(started_, true)) {
            thread_.start();
        }
        auto done = std::promise<void>{};
        thread_.post_wait([&] {
            work();
            done.set_value();
        });
        done.get_future().get();
    }

    // Sends a request with an optional extra header field.
    auto start(test_client& client, const std::string& path,
               const std::string& extra_header_name = {},
               const std::string& extra_header_value = {}) -> void {
        run_on_thread([&] {
            auto headers = transport::header_list{};
            headers.add("Host", "x");
            headers.add("X-Id", "id" + std::to_string(++next_id_));
            if (!extra_header_name.empty()) {
                headers.set(extra_header_name, extra_header_value);
            }
            client.call_ = clients_.send(
                relay_.address(),
                transport::write_request("POST", path, headers, "body"), false,
                100, client);
        });
    }

    // Sends a request and waits until its answer has ended or failed.
    auto call(const std::string& path,
              const std::string& extra_header_name = {},
              const std::string& extra_header_value = {}) -> client_response {
        auto client = test_client{};
        start(client, path, extra_header_name, extra_header_value);
        client.done_.get_future().get();
        auto response = client_response{};
        run_on_thread([&] { response = client.response_; });
        return response;
    }

    // Sends a request whose backend server, "a", ends and starts anew.
    auto crash_under_request(std::int64_t next_start) -> void {
        EXPECT_EQ(call("/once/bad").status_, 502);
        run_on_thread([&] {
            auto restarted = a_.server("app");
            restarted.started_at_ = next_start;
            relay_.set_backend(restarted);
        });
    }

    steady_clock clock_;
    seeded_random random_{1};
    transport::reactor_thread thread_;
    transport::logger log_;
    transport::metrics_registry metrics_;
    server_permits permits_{{clock_, log_, metrics_}, "test"};
    server_notices notices_{{clock_, log_, metrics_}};
    stream_directory streams_{{clock_, metrics_}, "test"};
    allowance_sharing allowances_{clock_, "test", 1, {}};
    peer_forwarding forwarding_{{clock_, random_, log_, metrics_}, "test"};
    test_dialect dialect_;
    test_provisioner provisioner_;
    relay relay_;
    transport::http_pool clients_;
    test_backend a_;
    test_backend b_;
    bool started_ = false;
    int next_id_ = 0;
};

} // namespace basilstream::daemon
