// Runners that answer with streams of events, and clients that take a stream up
// again where it broke off, as PROTOCOL.md tells both.
#pragma once

#include "world-2.h"

namespace review {

struct stream_shape {
    int events_ = 40;
    double gap_s_ = 0.25;
};

// What the runners ran.
struct stream_log {
    std::mutex mutex_;
    // By request id: the version of the runner that ran it.
    std::map<std::string, std::string> ran_;
};

inline runner::handler stream_handler(const runner_description& description,
                                      stream_shape shape, stream_log& log) {
    return
        [description, shape, &log](const message& request, connection& link) {
            const auto id = request.header("basilstream-request-id");
            const auto after = request.header("last-event-id");
            const auto first = after.empty() ? 1 : std::atoi(after.c_str()) + 1;
            {
                auto lock = std::scoped_lock{log.mutex_};
                log.ran_[id] = description.version_;
            }
            record->line("runner %s (version %s) runs %s from event %d",
                         description.id_.c_str(), description.version_.c_str(),
                         id.c_str(), first);
            if (!link.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream"
                            "\r\nBasilstream-Request-Id: " +
                            id + "\r\nBasilstream-Response-Signature: sig." +
                            id + "." + description.version_ +
                            "\r\nTransfer-Encoding: chunked\r\n\r\n")) {
                return link.close();
            }
            for (auto number = first; number <= shape.events_; ++number) {
                const auto event = "id: " + std::to_string(number) +
                                   "\ndata: " + description.version_ + "\n\n";
                char size[16];
                std::snprintf(size, sizeof size, "%zx", event.size());
                if (!link.write(std::string{size} + "\r\n" + event + "\r\n")) {
                    record->line("runner %s: %s was dropped by its caller",
                                 description.id_.c_str(), id.c_str());
                    return link.close();
                }
                sleep_s(shape.gap_s_);
            }
            if (!link.write("0\r\n\r\n")) {
                link.close();
            }
        };
}

// A client's stream over all its tries.
struct client_stream {
    std::string name_;
    std::string began_as_; // id of the try that brought the first event
    int last_event_ = 0;
    bool complete_ = false;
    bool gap_ = false; // an event is missing or came twice
    std::set<std::string> versions_;
    // Tries to take the stream up again at machines in touch, and whether one
    // of them brought an event.
    int resume_tries_ = 0;
    bool went_on_ = false;
    std::vector<int> resume_statuses_;
};

// The part of a prompt that belongs to the request itself.
inline std::string own_part(const std::string& name) {
    char text[24];
    std::snprintf(text, sizeof text, "%016zx", std::hash<std::string>{}(name));
    return text;
}

struct try_result {
    bool connected_ = false;
    int status_ = 0; // 0: no answer
    int events_ = 0;
    double retry_after_ = 0;
};

// One client attempt, on a new connection.
inline try_result try_stream(client_stream& stream, const std::string& address,
                             const std::string& id, double deadline_at) {
    auto result = try_result{};
    const auto descriptor = connect_to(address, 1);
    if (descriptor < 0) {
        record->line("client %s: %s takes no connection", id.c_str(),
                     address.c_str());
        return result;
    }
    result.connected_ = true;
    auto link = connection{descriptor};
    auto headers = std::string{};
    if (stream.last_event_ > 0) {
        headers = "Last-Event-Id: " + std::to_string(stream.last_event_) +
                  "\r\nResumes: " + stream.began_as_ + "\r\n";
    }
    const auto left = static_cast<int>((deadline_at - now_s()) * 1000);
    const auto body = "prompt of " + stream.name_;
    record->line("client sends %s to %s, after event %d", id.c_str(),
                 address.c_str(), stream.last_event_);
    link.write(
        "POST /gen/text HTTP/1.1\r\nHost: app.example\r\n"
        "Basilstream-Request-Id: " +
        id + "\r\nBasilstream-Deadline-Milliseconds: " + std::to_string(left) +
        "\r\nBasilstream-Model: m0\r\n"
        "Basilstream-Token-Counts: 1460,80\r\n"
        "Basilstream-Prompt-Prefix: 5c1e07a2:1210," +
        own_part(stream.name_) + ":250\r\n" + headers +
        "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    auto answer = message{};
    if (!link.read_head(answer, deadline_at)) {
        record->line("client %s: no answer", id.c_str());
        return result;
    }
    result.status_ = answer.status();
    result.retry_after_ = std::atof(answer.header("retry-after").c_str());
    const auto is_stream = result.status_ == 200;
    auto pending = std::string{};
    const auto whole = link.read_body(
        answer, true, deadline_at, [&](const std::string& piece) {
            if (!is_stream) {
                return;
            }
            pending += piece;
            auto end = pending.find("\n\n");
            while (end != std::string::npos) {
                const auto event = pending.substr(0, end);
                pending.erase(0, end + 2);
                end = pending.find("\n\n");
                const auto number = std::atoi(event.c_str() + 4);
                stream.gap_ = stream.gap_ || number != stream.last_event_ + 1;
                stream.last_event_ = number;
                stream.versions_.insert(event.substr(event.find("data: ") + 6));
                if (stream.began_as_.empty()) {
                    stream.began_as_ = id;
                }
                ++result.events_;
            }
        });
    stream.complete_ = is_stream && whole;
    record->line("client %s: status %d, %d events up to %d, %s", id.c_str(),
                 result.status_, result.events_, stream.last_event_,
                 whole ? "whole" : "broken off");
    return result;
}

} // namespace review
