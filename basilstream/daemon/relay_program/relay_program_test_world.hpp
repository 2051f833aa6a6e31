// Test doubles of the platform for tests that run complete daemons in one
// process: an in-memory store and an installation with header annotations
// named X-....
#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "basilstream/daemon/installation/installation.hpp"
#include "basilstream/daemon/relay_program/relay_program.hpp"

namespace basilstream::daemon {

using coordination::record_page;
using coordination::shared_topic;
using coordination::store_record;

// Holds one log per topic, shared by all daemons.
class memory_log {
public:
    auto append(shared_topic topic, std::optional<std::uint64_t> at,
                store_record record) -> coordination::append_outcome {
        const auto guard = std::lock_guard{mutex_};
        auto& log = logs_[topic];
        if (discarded_topics_.contains(topic)) {
            return {true, log.size()};
        }
        if (at && *at != log.size()) {
            return {false, log.size()};
        }
        record.offset_ = log.size();
        log.push_back(std::move(record));
        return {true, log.size() - 1};
    }
    auto read(shared_topic topic, std::uint64_t from) -> record_page {
        const auto guard = std::lock_guard{mutex_};
        const auto& log = logs_[topic];
        auto page = record_page{{}, log.size(), false};
        for (auto offset = from; offset < log.size(); ++offset) {
            page.records_.push_back(log[offset]);
        }
        return page;
    }
    auto newest(shared_topic topic) -> record_page {
        const auto all = read(topic, 0);
        auto by_key = std::map<std::string, store_record>{};
        for (const auto& record : all.records_) {
            by_key[record.key_] = record;
        }
        auto page = record_page{{}, all.end_, false};
        for (const auto& [key, record] : by_key) {
            page.records_.push_back(record);
        }
        return page;
    }

    // While unavailable, the store answers every call with an error and nothing
    // is done.
    auto set_available(bool available) -> void { available_ = available; }
    [[nodiscard]] auto available() const -> bool { return available_; }
    // How long listings take.
    auto set_listing_time(milliseconds time) -> void { listing_time_ = time; }
    [[nodiscard]] auto listing_time() const -> milliseconds {
        return listing_time_;
    }
    // Records appended to a topic that is not writable are lost.
    auto set_writable(shared_topic topic, bool writable) -> void {
        const auto guard = std::lock_guard{mutex_};
        if (writable) {
            discarded_topics_.erase(topic);
        } else {
            discarded_topics_.insert(topic);
        }
    }

private:
    std::mutex mutex_;
    std::map<shared_topic, std::vector<store_record>> logs_;
    std::set<shared_topic> discarded_topics_;
    std::atomic<bool> available_{true};
    std::atomic<milliseconds> listing_time_{milliseconds{1}};
};

class memory_store final : public coordination::record_store {
public:
    memory_store(memory_log& log, transport::reactor_thread& thread)
        : log_{log}, thread_{thread} {}
    auto read_newest(shared_topic topic, handler<record_page> done)
        -> void override {
        thread_.after(log_.listing_time(),
                      [this, topic, done = std::move(done)] {
                          answer(done, [&] { return log_.newest(topic); });
                      });
    }
    auto read_from(shared_topic topic, std::uint64_t offset, milliseconds wait,
                   handler<record_page> done) -> void override {
        thread_.after(std::min(wait, milliseconds{20}),
                      [this, topic, offset, done = std::move(done)] {
                          answer(done,
                                 [&] { return log_.read(topic, offset); });
                      });
    }
    auto append(shared_topic topic, std::optional<std::uint64_t> at,
                store_record record, handler<coordination::append_outcome> done)
        -> void override {
        thread_.after(milliseconds{1}, [this, topic, at, done = std::move(done),
                                        record = std::move(record)] {
            answer(done, [&] { return log_.append(topic, at, record); });
        });
    }

private:
    template <class Value, class Call>
    auto answer(const handler<Value>& done, Call call) -> void {
        if (log_.available()) {
            done(call());
        } else {
            done(tl::unexpected(error{error_code::unavailable, step::log,
                                      "store", "unavailable"}));
        }
    }

    memory_log& log_;
    transport::reactor_thread& thread_;
};

class fake_dialect final : public backend_dialect {
public:
    [[nodiscard]] auto read(transport::request_message message) const
        -> result<relayed_request> override {
        auto request = relayed_request{};
        request.id_ = message.headers_.find("X-Id");
        request.host_ = message.headers_.find("Host");
        request.model_ = message.headers_.find("X-Model");
        request.adapter_ = message.headers_.find("X-Adapter");
        request.resumed_request_ = message.headers_.find("X-Resumes");
        if (const auto last = message.headers_.find("X-Last"); !last.empty()) {
            request.last_event_ = std::stoul(std::string{last});
        }
        request.prompt_tokens_ = 100;
        request.output_tokens_ = 10;
        request.message_ = std::move(message);
        return request;
    }
    [[nodiscard]] auto request_headers(const relayed_request& request,
                                       const relay_attempt& attempt) const
        -> transport::header_list override {
        auto headers = request.message_.headers_;
        if (attempt.resume_after_) {
            headers.set("X-Resume", std::to_string(*attempt.resume_after_));
        }
        return headers;
    }
    [[nodiscard]] auto classify_answer(const transport::answer_head& head,
                                       const std::string& /*request_id*/) const
        -> answer_verdict override {
        return head.headers_.contains("X-Not-Run") ? answer_verdict::misdirected
                                                   : answer_verdict::answer;
    }
    [[nodiscard]] auto names_request(const transport::answer_head& /*head*/,
                                     const std::string& /*request_id*/) const
        -> bool override {
        return true;
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
    [[nodiscard]] auto pause(int /*status*/,
                             const transport::header_list& /*headers*/) const
        -> pause_notice override {
        return {};
    }
    [[nodiscard]] auto
    is_leaving(const std::string& /*backend*/,
               const transport::header_list& /*headers*/) const
        -> bool override {
        return false;
    }
    [[nodiscard]] auto answer_headers(const transport::answer_head& head) const
        -> transport::header_list override {
        return head.headers_;
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

// Resolves store records, which hold only names, to the configuration and
// backend servers set by the test.
class fake_installation : public installation,
                          public coordination::record_decoder {
public:
    [[nodiscard]] auto dialect() const -> const backend_dialect& override {
        return dialect_;
    }
    [[nodiscard]] auto decoder() const
        -> const coordination::record_decoder& override {
        return *this;
    }
    [[nodiscard]] auto open_store(transport::http_pool& /*pool*/,
                                  transport::reactor_thread& thread,
                                  std::string /*address*/) const
        -> std::unique_ptr<coordination::record_store> override {
        return std::make_unique<memory_store>(log_, thread);
    }
    [[nodiscard]] auto order_call(const runner_order& order) const
        -> transport::small_call override {
        return {.address_ = order.address_,
                .method_ = "POST",
                .target_ = "/order",
                .body_ = order.model_};
    }
    [[nodiscard]] auto
    read_order_answer(const transport::small_reply& reply) const
        -> result<order_answer> override {
        return reply.status_ == 202 ? order_answer::accepted
                                    : order_answer::invalid;
    }
    [[nodiscard]] auto report_call(const std::string& /*runner*/,
                                   const std::string& address) const
        -> transport::small_call override {
        return {.address_ = address, .target_ = "/report"};
    }
    [[nodiscard]] auto read_report(const transport::small_reply& reply) const
        -> result<runner_report> override {
        auto report = runner_report{};
        const auto separator = reply.body_.find(' ');
        report.accepted_orders_ = std::stoul(reply.body_.substr(0, separator));
        if (const auto model = reply.body_.substr(separator + 1);
            !model.empty()) {
            report.models_ = {{model, 1, {}}};
        }
        return report;
    }
    [[nodiscard]] auto
    read_endpoint_request(const transport::request_message& request) const
        -> std::optional<std::string> override {
        return request.target_ == "/where" ? std::optional<std::string>{"a"}
                                           : std::nullopt;
    }
    [[nodiscard]] auto
    endpoint_body(const coordination::endpoint_answer& answer) const
        -> std::string override {
        auto text = std::string{};
        for (const auto& address : answer.addresses_) {
            text.append(address).append("\n");
        }
        return text;
    }
    [[nodiscard]] auto
    is_readiness_request(const transport::request_message& request) const
        -> bool override {
        return request.target_ == "/ready";
    }
    [[nodiscard]] auto configuration(const store_record& /*record*/,
                                     std::vector<error>& /*skipped*/) const
        -> result<std::shared_ptr<const coordination::relay_config>> override {
        return config_;
    }
    [[nodiscard]] auto backend(const store_record& record) const
        -> result<coordination::backend_server> override {
        return servers_.at(record.key_);
    }

    fake_dialect dialect_;
    mutable memory_log log_;
    std::shared_ptr<const coordination::relay_config> config_;
    std::map<std::string, coordination::backend_server> servers_;
};

// Decodes announcements from the text of their records, so that servers can
// change while daemons read: address, start time, the model that a runner holds
// or "-", and the software version; the last two may be left out.
class text_installation final : public fake_installation {
public:
    [[nodiscard]] auto backend(const store_record& record) const
        -> result<coordination::backend_server> override {
        auto server = coordination::backend_server{};
        auto text = std::istringstream{*record.value_};
        auto model = std::string{};
        text >> server.address_ >> server.started_at_;
        if (text >> model && model != "-") {
            server.models_ = {{model, 1, {}}};
        }
        text >> server.software_version_;
        server.id_ = record.key_;
        server.service_ = "app";
        server.slots_ = 16;
        return server;
    }
};

} // namespace basilstream::daemon
