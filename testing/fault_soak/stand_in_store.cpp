#include "testing/fault_soak/stand_in_store.hpp"

#include <algorithm>
#include <cctype>
#include <utility>

#include "basilstream/protocol/json/json.hpp"

namespace basilstream::testing {
namespace {

using protocol::json;

constexpr auto slow_answer = milliseconds{300};

auto query_value(std::string_view target, std::string_view name)
    -> std::string {
    auto query = target.substr(std::min(target.find('?'), target.size()));
    while (!query.empty()) {
        query.remove_prefix(1);
        const auto field = query.substr(0, query.find('&'));
        query.remove_prefix(field.size());
        if (field.starts_with(name) && field.substr(name.size(), 1) == "=") {
            return std::string{field.substr(name.size() + 1)};
        }
    }
    return {};
}

// Undoes the encoding of a value in a query, in which a plus stands for a
// blank.
auto decoded(std::string_view text) -> std::string {
    constexpr auto hexadecimal = 16;
    auto value = std::string{};
    while (!text.empty()) {
        auto taken = std::size_t{1};
        auto letter = text.front() == '+' ? ' ' : text.front();
        if (letter == '%' && text.size() > 2 &&
            std::isxdigit(static_cast<unsigned char>(text[1])) != 0 &&
            std::isxdigit(static_cast<unsigned char>(text[2])) != 0) {
            letter = static_cast<char>(std::stoi(std::string{text.substr(1, 2)},
                                                 nullptr, hexadecimal));
            taken = 3;
        }
        value.push_back(letter);
        text.remove_prefix(taken);
    }
    return value;
}

auto number_or(const std::string& text, std::size_t fallback) -> std::size_t {
    return text.empty() ? fallback : std::stoul(text);
}

auto big_endian(std::uint64_t value, int bytes) -> std::string {
    auto text = std::string{};
    for (auto index = bytes; index-- > 0;) {
        text.push_back(static_cast<char>((value >> (8 * index)) & 0xFFU));
    }
    return text;
}

auto read_big_endian(std::string_view bytes) -> std::size_t {
    auto value = std::size_t{0};
    for (const auto byte : bytes) {
        value = value << 8U | static_cast<unsigned char>(byte);
    }
    return value;
}

auto base64(std::string_view bytes) -> std::string {
    constexpr auto alphabet = std::string_view{
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/"};
    auto text = std::string{};
    auto group = 0U;
    auto bits = 0U;
    for (const auto byte : bytes) {
        group = group << 8U | static_cast<unsigned char>(byte);
        bits += 8;
        while (bits >= 6) {
            bits -= 6;
            text.push_back(alphabet[group >> bits & 0x3FU]);
        }
    }
    if (bits > 0) {
        text.push_back(alphabet[group << (6 - bits) & 0x3FU]);
    }
    text.append((4 - text.size() % 4) % 4, '=');
    return text;
}

// Returns key and value of the content of a keyed record.
auto split(std::string_view content)
    -> std::pair<std::string_view, std::string_view> {
    const auto length = static_cast<unsigned char>(content.front());
    return {content.substr(1, length), content.substr(1 + length)};
}

} // namespace

struct stand_in_store::held_call final : transport::client_observer {
    auto on_client_left() -> void override { session_ = nullptr; }
    auto on_client_drained() -> void override {}
    transport::http_session* session_ = nullptr;
    // Whether the answer is lost.
    bool lost_ = false;
    bool slow_ = false;
};

stand_in_store::stand_in_store(transport::reactor_thread& thread,
                               const clock& time)
    : thread_{thread}, clock_{time} {
    server_ = std::move(transport::http_session_server::open(
                            thread, time, {.address_ = "127.0.0.1:0"},
                            [this](const transport::request_message& request,
                                   transport::http_session& session) {
                                answer(request, session, {});
                            })
                            .value());
}

auto stand_in_store::add_view(record_view view) -> std::string {
    view_servers_.push_back(
        std::move(transport::http_session_server::open(
                      thread_, clock_, {.address_ = "127.0.0.1:0"},
                      [this, view = std::move(view)](
                          const transport::request_message& request,
                          transport::http_session& session) {
                          answer(request, session, view);
                      })
                      .value()));
    return view_servers_.back()->address();
}

stand_in_store::~stand_in_store() = default;

auto stand_in_store::address() const -> std::string {
    return server_->address();
}

auto stand_in_store::put(const std::string& topic, const std::string& key,
                         const std::optional<std::string>& value) -> void {
    add_record(topic, static_cast<char>(key.size()) + key + value.value_or(""));
}

auto stand_in_store::answer(const transport::request_message& request,
                            transport::http_session& session,
                            const record_view& view) -> void {
    const auto call = std::make_shared<held_call>();
    call->session_ = &session;
    call->slow_ = fault_ == store_fault::slow;
    session.observe(call.get());
    if (fault_ == store_fault::refuse) {
        respond(call, 503, "");
        return;
    }
    if (fault_ == store_fault::silent) {
        // Keeps the observer alive as long as the client waits.
        waiting_.push_back({"", 0, call});
        return;
    }
    const auto path = request.target_.substr(0, request.target_.find('?'));
    const auto topic = query_value(request.target_, "topic");
    if (path == "/basilstream/log-append") {
        call->lost_ = fault_ == store_fault::lose_answers;
        append(topic, query_value(request.target_, "at"), request.body_, call);
    } else if (path == "/basilstream/log-read") {
        read(topic, number_or(query_value(request.target_, "from"), 0),
             milliseconds{number_or(query_value(request.target_, "waitMs"), 0)},
             call, view);
    } else if (path == "/basilstream/log-newest") {
        list(topic, decoded(query_value(request.target_, "after")), call, view);
    } else {
        respond(call, 404, "");
    }
}

auto stand_in_store::append(const std::string& topic, const std::string& at,
                            std::string_view body, const call_pointer& call)
    -> void {
    const auto end = topics_[topic].size();
    if (!at.empty() && std::stoul(at) != end) {
        respond(call, 412, json{{"end", end}}.dump());
        return;
    }
    while (body.size() >= 4) {
        const auto length = read_big_endian(body.substr(0, 4));
        add_record(topic, std::string{body.substr(4, length)});
        body.remove_prefix(std::min(body.size(), 4 + length));
    }
    respond(call, 200,
            json{{"offset", end}, {"end", topics_[topic].size()}}.dump());
}

auto stand_in_store::read_response(const std::string& topic, std::size_t from,
                                   const record_view& view) -> std::string {
    const auto& records = topics_[topic];
    auto body = big_endian(records.size(), 8) + big_endian(0, 8);
    for (auto offset = from; offset < records.size(); ++offset) {
        auto content = records[offset];
        if (view && topic.starts_with("keyed.")) {
            const auto [key, value] = split(records[offset]);
            content = static_cast<char>(key.size()) + std::string{key} +
                      view(topic, std::string{value});
        }
        body += big_endian(content.size(), 4) + content;
    }
    return body;
}

auto stand_in_store::read(const std::string& topic, std::size_t from,
                          milliseconds longest_wait, const call_pointer& call,
                          const record_view& view) -> void {
    if (from < topics_[topic].size() || longest_wait.count() == 0) {
        respond(call, 200, read_response(topic, from, view));
        return;
    }
    waiting_.push_back({topic, from, call, view});
    thread_.after(longest_wait, [this, call] {
        const auto found = std::find_if(
            waiting_.begin(), waiting_.end(),
            [&](const auto& waiting) { return waiting.call_ == call; });
        if (found != waiting_.end()) {
            const auto due = *found;
            waiting_.erase(found);
            respond(call, 200, read_response(due.topic_, due.from_, due.view_));
        }
    });
}

auto stand_in_store::list(const std::string& topic, const std::string& after,
                          const call_pointer& call, const record_view& view)
    -> void {
    const auto& records = topics_[topic];
    auto newest = std::map<std::string, std::size_t>{};
    for (auto offset = std::size_t{0}; offset < records.size(); ++offset) {
        newest[std::string{split(records[offset]).first}] = offset;
    }
    auto items = json::array();
    auto more = false;
    for (const auto& [key, offset] : newest) {
        if (!after.empty() && key <= after) {
            continue;
        }
        more = items.size() == page_size_;
        if (more) {
            break;
        }
        auto value = std::string{split(records[offset]).second};
        if (view) {
            value = view(topic, std::move(value));
        }
        if (!value.empty()) {
            items.push_back(
                {{"key", key}, {"value", base64(value)}, {"offset", offset}});
        }
    }
    respond(
        call, 200,
        json{{"items", items}, {"more", more}, {"end", records.size()}}.dump());
}

auto stand_in_store::respond(const call_pointer& call, int status,
                             std::string body) -> void {
    if (call->lost_) {
        waiting_.push_back({"", 0, call});
        return;
    }
    thread_.after(call->slow_ ? slow_answer : milliseconds{0},
                  [call, status, body = std::move(body)] {
                      if (auto* const session =
                              std::exchange(call->session_, nullptr)) {
                          session->observe(nullptr);
                          session->respond(status, {}, body);
                      }
                  });
}

auto stand_in_store::add_record(const std::string& topic, std::string content)
    -> void {
    topics_[topic].push_back(std::move(content));
    auto due = std::list<waiting_read>{};
    for (auto waiting = waiting_.begin(); waiting != waiting_.end();) {
        const auto next = std::next(waiting);
        if (waiting->topic_ == topic) {
            due.splice(due.end(), waiting_, waiting);
        }
        waiting = next;
    }
    for (const auto& read : due) {
        respond(read.call_, 200, read_response(topic, read.from_, read.view_));
    }
}

} // namespace basilstream::testing
