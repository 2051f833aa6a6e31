// A relay between a scripted client and scripted backend servers, all on one
// reactor thread over loopback connections.
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

// Annotations under plain names.
class test_dialect final : public backend_dialect {
public:
    [[nodiscard]] auto read(transport::request_message message) const
        -> result<relayed_request> override {
        auto request = relayed_request{};
        request.id_ = message.headers_.find("X-Id");
        request.host_ = message.headers_.find("Host");
        request.model_ = message.headers_.find("X-Model");
        request.adapter_ = message.headers_.find("X-Adapter");
        if (const auto text = message.headers_.find("X-Patience");
            !text.empty()) {
            request.client_timeout_ = milliseconds{std::stol(std::string{text})};
        }
        request.message_ = std::move(message);
        return request;
    }

    [[nodiscard]] auto request_headers(const relayed_request& request,
                                       const relay_attempt& attempt) const
        -> transport::header_list override {
        auto headers = request.message_.headers_;
        headers.set("X-Expect", attempt.backend_id_);
        if (attempt.resume_after_) {
            headers.set("X-Resume", std::to_string(*attempt.resume_after_));
        }
        return headers;
    }

    [[nodiscard]] auto classify_answer(const transport::answer_head& head,
                             const std::string& request_id) const
        -> answer_verdict override {
        if (head.headers_.find("X-Id") != request_id) {
            return answer_verdict::other_request;
        }
        return head.headers_.contains("X-Not-Run") ? answer_verdict::refused
                                                   : answer_verdict::answer;
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

class test_supply final : public model_supply {
public:
    auto on_request(const model_want& /*want*/, std::int64_t /*tokens*/,
                    bool served) -> void override {
        unserved_ += served ? 0 : 1;
    }
    [[nodiscard]] auto expected_wait(const model_want& /*want*/) const
        -> std::optional<milliseconds> override {
        return wait_;
    }
    std::optional<milliseconds> wait_;
    int unserved_ = 0;
};

// A backend server that answers each request's bytes by a script. The script
// gets the request and the connection to write to; an empty script holds it.
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
                              auto made = std::make_unique<connection>();
                              made->owner_ = this;
                              made->stream_ = transport::tcp_stream::adopt(
                                  thread_, descriptor, *made);
                              connections_.push_back(std::move(made));
                          })
                          .value());
    }

    auto on_request(const transport::request_message& request, connection& from)
        -> void {
        requests_.push_back(request);
        if (requests_.size() <= scripts_.size()) {
            scripts_[requests_.size() - 1](request, from);
        } else if (otherwise_) {
            otherwise_(request, from);
        }
    }

    [[nodiscard]] auto server(const std::string& service) const
        -> coordination::backend_server {
        auto made = coordination::backend_server{};
        made.id_ = id_;
        made.service_ = service;
        made.address_ = listener_->address();
        made.slots_ = 4;
        made.started_at_ = 1;
        return made;
    }

    transport::reactor_thread& thread_;
    std::string id_;
    std::unique_ptr<transport::tcp_listener> listener_;
    std::vector<std::unique_ptr<connection>> connections_;
    std::vector<transport::request_message> requests_;
    std::vector<script> scripts_;
    script otherwise_;
    int closed_ = 0;
};

// Scripts of backend servers.
inline auto answer(int status, const std::string& body,
                   const std::string& more = {}) -> test_backend::script {
    return [=](const transport::request_message& request,
               test_backend::connection& to) {
        auto headers = transport::header_list{};
        headers.add("X-Id", std::string{request.headers_.find("X-Id")});
        headers.add("X-Server", to.owner_->id_);
        if (!more.empty()) {
            headers.add(more, "1");
        }
        to.write(transport::write_head(status, headers,
                                       transport::body_framing::length,
                                       body.size(), true) +
                 body);
    };
}

inline auto refuse() -> test_backend::script {
    return answer(503, "", "X-Not-Run");
}

inline auto close_unanswered() -> test_backend::script {
    return [](const transport::request_message&, test_backend::connection& to) {
        to.close();
    };
}

// Begins a stream and writes none of it.
inline auto begin_stream_only() -> test_backend::script {
    return [=](const transport::request_message& request,
               test_backend::connection& to) {
        auto headers = transport::header_list{};
        headers.add("X-Id", std::string{request.headers_.find("X-Id")});
        headers.add("X-Server", to.owner_->id_);
        to.write(transport::write_head(
            200, headers, transport::body_framing::chunked, 0, true));
    };
}

// Begins a stream, is silent for longer than relays wait for a sign, and ends
// it with one event.
inline auto begin_and_end_late() -> test_backend::script {
    return [](const transport::request_message& request,
              test_backend::connection& to) {
        begin_stream_only()(request, to);
        to.owner_->thread_.after(milliseconds{1600}, [&to] {
            auto bytes = std::string{};
            transport::append_chunk(bytes, "data: x\n\n");
            bytes.append(transport::last_chunk);
            to.write(bytes);
        });
    };
}

// Begins a stream with the given text; ends it in order if `whole`.
inline auto stream(const std::string& text, bool whole)
    -> test_backend::script {
    return [=](const transport::request_message& request,
               test_backend::connection& to) {
        begin_stream_only()(request, to);
        auto bytes = std::string{};
        transport::append_chunk(bytes, text);
        if (whole) {
            bytes.append(transport::last_chunk);
        }
        to.write(bytes);
        if (!whole) {
            to.close();
        }
    };
}

// What the client saw.
struct client_view {
    int status_ = 0;
    transport::header_list headers_;
    std::string body_;
    bool whole_ = false;
};

// One request of a client on a connection of its own.
class test_client final : public transport::answer_observer {
public:
    auto on_answer_head(const transport::answer_head& head) -> bool override {
        seen_.status_ = head.status_;
        seen_.headers_ = head.headers_;
        return true;
    }
    auto on_answer_body(std::string_view piece) -> void override {
        seen_.body_.append(piece);
        if (on_body_) {
            on_body_();
        }
    }
    auto on_answer_end() -> void override {
        seen_.whole_ = true;
        done_.set_value();
    }
    auto on_call_failed(transport::call_failure /*failure*/) -> void override {
        done_.set_value();
    }

    client_view seen_;
    std::promise<void> done_;
    std::function<void()> on_body_;
    std::shared_ptr<transport::http_call_connection> call_;
};

class relay_world : public testing::Test {
protected:
    relay_world()
        : thread_{"test", 1024}, log_{{transport::log_level::off}, "test"},
          relay_{{clock_, random_, thread_, log_, metrics_},
                 {.address_ = "127.0.0.1:0",
                  .retry_ratio_ = 1,
                  .retry_allowance_ = 100,
                  .retry_hint_ = milliseconds{400}},
                 dialect_,
                 supply_},
          clients_{thread_, clock_}, a_{thread_, "a"}, b_{thread_, "b"} {
        EXPECT_TRUE(relay_.open());
        relay_.set_config(config());
        relay_.set_backend(a_.server("app"));
        thread_.every(milliseconds{5}, [this] { relay_.sweep(); });
    }
    ~relay_world() override { thread_.stop(); }

    static auto route(std::string prefix, coordination::request_kind kind,
                      bool resumable = false) -> coordination::relay_route {
        auto made = coordination::relay_route{};
        made.name_ = prefix;
        made.host_ = "x";
        made.path_prefix_ = std::move(prefix);
        made.kind_ = kind;
        made.attempts_ = 2;
        made.resumable_ = resumable;
        made.targets_ = {{"app", 1}};
        return made;
    }

    static auto config() -> std::shared_ptr<const coordination::relay_config> {
        using coordination::request_kind;
        auto made = std::make_shared<coordination::relay_config>();
        made->version_ = 1;
        made->routes_ = {route("/safe/", request_kind::idempotent),
                         route("/once/", request_kind::non_idempotent),
                         route("/stream/", request_kind::streaming),
                         route("/resume/", request_kind::streaming, true),
                         route("/single/", request_kind::streaming, true)};
        made->routes_.back().attempts_ = 1;
        made->services_ = {{.name_ = "app", .connection_limit_ = 50}};
        return made;
    }

    auto add_b() -> void { relay_.set_backend(b_.server("app")); }

    // Starts the thread, if need be, and runs `work` on it.
    auto on_thread(const std::function<void()>& work) -> void {
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

    auto start(test_client& client, const std::string& path,
               const std::string& more_name = {},
               const std::string& more_value = {}) -> void {
        on_thread([&] {
            auto headers = transport::header_list{};
            headers.add("Host", "x");
            headers.add("X-Id", "id" + std::to_string(++next_id_));
            if (!more_name.empty()) {
                headers.add(more_name, more_value);
            }
            client.call_ = clients_.send(
                relay_.address(),
                transport::write_request("POST", path, headers, "body"), false,
                100, client);
        });
    }

    auto call(const std::string& path, const std::string& more_name = {},
              const std::string& more_value = {}) -> client_view {
        auto client = test_client{};
        start(client, path, more_name, more_value);
        client.done_.get_future().get();
        auto seen = client_view{};
        on_thread([&] { seen = client.seen_; });
        return seen;
    }

    steady_clock clock_;
    seeded_random random_{1};
    transport::reactor_thread thread_;
    transport::logger log_;
    transport::metrics_registry metrics_;
    test_dialect dialect_;
    test_supply supply_;
    relay relay_;
    transport::http_pool clients_;
    test_backend a_;
    test_backend b_;
    bool started_ = false;
    int next_id_ = 0;
};

} // namespace basilstream::daemon
