#include "testing/fault_soak/stand_in_server.hpp"

#include <array>
#include <utility>

#include "basilstream/protocol/json/json.hpp"

namespace basilstream::testing {
namespace {

constexpr auto event_interval = milliseconds{20};
// Long enough that several streams are open when a server ends.
constexpr auto resumable_event_interval = milliseconds{120};
// An announcement expires after three missed heartbeats.
constexpr auto announcement_lifetime = milliseconds{3600};
constexpr auto shortest_restart_ms = 800;
constexpr auto restart_spread_ms = std::uint64_t{2500};
constexpr auto id_field = "Basilstream-Request-Id";

// A new process has the version of the former one, or now and then another.
constexpr auto versions = std::array{"v1", "v2"};
constexpr auto version_change_share = std::uint64_t{4};

} // namespace

struct stand_in_server::stream final : transport::client_observer {
    auto on_client_left() -> void override { session_ = nullptr; }
    auto on_client_drained() -> void override {}
    transport::http_session* session_ = nullptr;
    bool resumable_ = false;
};

stand_in_server::stand_in_server(const server_context& context,
                                 std::string name)
    : context_{context}, name_{std::move(name)}, id_{name_} {
    proxy_ = std::make_unique<fault_proxy>(context_.thread_, "127.0.0.1:1");
    start();
}

stand_in_server::~stand_in_server() = default;

auto stand_in_server::start() -> void {
    server_ = std::move(transport::http_session_server::open(
                            context_.thread_, context_.clock_,
                            {.address_ = "127.0.0.1:0"},
                            [this](const transport::request_message& request,
                                   transport::http_session& session) {
                                answer(request, session);
                            })
                            .value());
    if (version_.empty() || context_.random_.below(version_change_share) == 0) {
        version_ = versions[context_.random_.below(versions.size())];
    }
    ++starts_;
    set_limit(std::nullopt);
    proxy_->set_target(server_->address());
    announce();
}

auto stand_in_server::announce() -> void {
    context_.store_.put("keyed.servers", id_,
                        protocol::json{{"service", "app"},
                                       {"address", proxy_->address()},
                                       {"zone", "a"},
                                       {"version", version_},
                                       {"slots", 32},
                                       {"state", "ready"},
                                       {"models", protocol::json::array()},
                                       {"sequence", 0},
                                       {"born", 1'000'000 + starts_}}
                            .dump());
}

auto stand_in_server::set_limit(std::optional<double> per_second) -> void {
    limit_ = per_second;
    context_.promises_.on_limit(name_, per_second, context_.clock_.now());
}

auto stand_in_server::expire(const std::string& id, int start) -> void {
    if (id != id_ || start == starts_) {
        context_.store_.put("keyed.servers", id, std::nullopt);
    }
}

auto stand_in_server::crash(bool same_id) -> void {
    if (!server_) {
        return;
    }
    for (const auto& open : std::exchange(streams_, {})) {
        if (auto* const session = std::exchange(open->session_, nullptr)) {
            session->observe(nullptr);
        }
    }
    server_.reset();
    proxy_->reset_all();
    // Connections are refused until the next start.
    proxy_->set_target("127.0.0.1:1");
    context_.thread_.after(
        announcement_lifetime,
        [this, id = id_, start = starts_] { expire(id, start); });
    const auto delay = milliseconds{
        shortest_restart_ms +
        static_cast<int>(context_.random_.below(restart_spread_ms))};
    context_.thread_.after(delay, [this, same_id] {
        if (!same_id) {
            id_ = name_ + "-" + std::to_string(++ids_);
        }
        start();
    });
}

auto stand_in_server::answer(const transport::request_message& request,
                             transport::http_session& session) -> void {
    const auto id = std::string{request.headers_.find(id_field)};
    const auto expected = request.headers_.find("Basilstream-Expect-Instance");
    auto headers = transport::header_list{};
    headers.add(id_field, id);
    if (limit_) {
        headers.add("Server-Limit", std::to_string(*limit_));
        headers.add(server_field, name_);
    }
    const auto settled = request.headers_.find(settled_field) == "1";
    context_.promises_.on_arrival(
        name_, std::string{request.headers_.find(daemon_field)}, settled,
        context_.clock_.now());
    if (!expected.empty() && expected != id_) {
        session.respond(421, headers, "");
        return;
    }
    const auto is_status_check = request.method_ == "GET" &&
                                 request.target_ == health_path && id.empty() &&
                                 request.body_.empty();
    if (is_status_check) {
        session.respond(200, headers, "");
        return;
    }
    const auto process = server_process{name_, starts_};
    context_.promises_.on_run(id, process, request.target_, request.body_,
                              settled, context_.clock_.now());
    if (request.body_ == crashing_body) {
        const auto same_id = context_.random_.below(2) == 0;
        context_.thread_.after(milliseconds{0},
                               [this, same_id] { crash(same_id); });
        return;
    }
    headers.add("Basilstream-Response-Signature", "s");
    const auto resumable = request.target_.starts_with("/resume/");
    if (!resumable && !request.target_.starts_with("/stream/")) {
        session.respond(200, headers,
                        promise_checker::answer_body(id, process));
        return;
    }
    const auto opened = std::make_shared<stream>();
    opened->session_ = &session;
    opened->resumable_ = resumable;
    session.observe(opened.get());
    session.begin_stream(200, headers);
    streams_.insert(opened);
    const auto after = request.headers_.find("Last-Event-Id");
    send_event(opened, after.empty() ? 1 : std::stoi(std::string{after}) + 1);
}

auto stand_in_server::send_event(const std::shared_ptr<stream>& open,
                                 int number) -> void {
    if (open->session_ == nullptr) {
        streams_.erase(open);
        return;
    }
    if (number > promise_checker::stream_events_) {
        open->session_->observe(nullptr);
        std::exchange(open->session_, nullptr)->end_stream();
        streams_.erase(open);
        return;
    }
    open->session_->write_piece(
        open->resumable_ ? promise_checker::event_text(number, version_)
                         : promise_checker::event_text(number));
    context_.thread_.after(
        open->resumable_ ? resumable_event_interval : event_interval,
        [this, open, number] { send_event(open, number + 1); });
}

} // namespace basilstream::testing
