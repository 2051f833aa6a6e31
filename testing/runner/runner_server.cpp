#include "testing/runner/runner_server.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdlib>
#include <utility>

#include "basilstream/transport/http_client/http_client.hpp"
#include "testing/runner/internal/codec.hpp"
#include "testing/runner/internal/faults.hpp"

namespace basilstream::testing {
namespace {

using nlohmann::json;
using transport::http_exchange_ptr;
using transport::http_request;

constexpr auto crash_status = 70;

struct refusal {
    submit_outcome outcome_;
    int status_;
    std::string_view code_;
};

constexpr auto refusals =
    std::array<refusal, 3>{{{submit_outcome::not_resident, 404, "not_resident"},
                            {submit_outcome::no_slot, 429, "no_slot"},
                            {submit_outcome::leaving, 503, "leaving"}}};

auto number(std::string_view text) -> std::uint64_t {
    auto value = std::uint64_t{0};
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

// A fault: the process dies like a crashed engine, without a word.
[[noreturn]] auto crash() -> void {
    std::_Exit(crash_status);
}

auto ceil_ms(duration length) -> milliseconds {
    return std::max(milliseconds{0}, std::chrono::ceil<milliseconds>(length));
}

} // namespace

// The open answer to one accepted completion.
struct runner_server::stream {
    http_exchange_ptr reply_;
    std::string peer_;
    std::string id_prefix_;
    std::uint64_t cut_position_ = UINT64_MAX;
    bool breaks_ = false;
    bool doubled_ = false;
    milliseconds late_{0};
    bool ended_ = false;
};

runner_server::runner_server(runner_options options, const clock& time,
                             random_source& random)
    : options_{std::move(options)}, clock_{time}, engine_{options_.engine_,
                                                          time, random},
      faults_{std::make_unique<internal::runner_faults>()},
      client_{std::make_unique<transport::http_client>("weights")},
      stand_in_{"runner"} {}

runner_server::~runner_server() {
    stand_in_.thread().stop();
    client_.reset();
}

auto runner_server::open(const std::string& address, std::uint16_t port)
    -> bool {
    constexpr auto idle_tick = milliseconds{20};
    add_routes();
    stand_in_.thread().every(idle_tick, [this] { tick(); });
    return stand_in_.open(address, port);
}

auto runner_server::add_routes() -> void {
    const auto add = [this](const char* method, const char* path,
                            route_handler handler) {
        stand_in_.route(method, path, std::move(handler));
    };
    add("POST", "/v1/completions",
        [this](const auto& request, const auto& reply) {
            complete(request, reply);
        });
    add("POST", "/v1/cancel", [this](const auto& request, const auto& reply) {
        const auto body = json::parse(request.body_);
        const auto found =
            engine_.cancel(body.at("request_id").template get<std::string>(),
                           body.value("attempt", std::uint64_t{0}));
        respond_json(*reply, 200, {{"cancelled", found}});
        tick();
    });
    add("POST", "/v1/orders", [this](const auto& request, const auto& reply) {
        order(request, reply);
    });
    add("GET", "/v1/report", [this](const auto&, const auto& reply) {
        respond_json(
            *reply, 200,
            internal::report_to_json(engine_.report(), engine_.settings()));
    });
    add("GET", "/v1/cache/events",
        [this](const auto& request, const auto& reply) {
            const auto from = number(request.query("from"));
            respond_json(
                *reply, 200,
                internal::cache_events_to_json(engine_.cache_events(from)));
        });
    add("POST", "/v1/kv/export",
        [this](const auto& request, const auto& reply) {
            const auto body = json::parse(request.body_);
            const auto bytes = engine_.export_kv(
                body.at("model").template get<std::string>(),
                body.at("prefix_hash").template get<std::string>());
            if (bytes) {
                reply->respond(200, {}, *bytes);
            } else {
                respond_error(*reply, 404, "not_cached");
            }
        });
    add("POST", "/v1/kv/import",
        [this](const auto& request, const auto& reply) {
            engine_.import_kv(std::string{request.query("model")},
                              std::string{request.query("prefix_hash")});
            respond_json(*reply, 200, json::object());
        });
    add("GET", "/testing/books", [this](const auto&, const auto& reply) {
        respond_json(*reply, 200, internal::books_to_json(engine_.books()));
    });
    add("POST", "/testing/faults",
        [this](const auto& request, const auto& reply) {
            set_faults(json::parse(request.body_));
            respond_json(*reply, 200, json::object());
        });
}

auto runner_server::set_faults(const json& body) -> void {
    internal::merge_faults(body, *faults_);
    if (body.value("crash", false)) {
        crash();
    }
    if (body.value("silent", false)) {
        stand_in_.silence_connections();
    }
    if (body.contains("leaving")) {
        engine_.set_leaving(body.at("leaving").get<bool>());
    }
    if (body.contains("report_lag_ms")) {
        engine_.set_report_lag(
            milliseconds{body.at("report_lag_ms").get<int>()});
    }
    if (body.contains("slow")) {
        engine_.set_slowdown(body.at("slow").get<double>());
    }
    if (body.contains("ignore_fencing")) {
        engine_.set_checks_fencing(!body.at("ignore_fencing").get<bool>());
    }
}

auto runner_server::complete(const http_request& request,
                             const http_exchange_ptr& reply) -> void {
    const auto wanted =
        internal::completion_from_json(json::parse(request.body_));
    if (faults_->refuse_) {
        respond_error(*reply, 429, "no_slot", "refuse fault");
        return;
    }
    const auto answer = engine_.submit(wanted);
    for (const auto& [outcome, status, code] : refusals) {
        if (answer.outcome_ == outcome) {
            respond_error(*reply, status, code, wanted.model_);
            return;
        }
    }
    const auto& marker = faults_->crash_marker_;
    if (!marker.empty() && wanted.prompt_.find(marker) != std::string::npos) {
        crash();
    }
    add_stream(answer.sequence_, wanted, request.peer_, reply);
    tick();
}

auto runner_server::add_stream(std::uint64_t sequence,
                               const completion_request& wanted,
                               const std::string& peer,
                               const http_exchange_ptr& reply) -> void {
    auto added = std::make_shared<stream>();
    added->reply_ = reply;
    added->peer_ = peer;
    added->id_prefix_ =
        wanted.request_id_ + "/" + std::to_string(wanted.attempt_) + "/";
    added->late_ = milliseconds{faults_->late_ms_};
    added->doubled_ = internal::take(faults_->doubled_);
    const auto truncated = internal::take(faults_->truncated_);
    added->breaks_ = !truncated && internal::take(faults_->broken_);
    if (truncated || added->breaks_) {
        added->cut_position_ = wanted.resume_position_ + faults_->cut_after_;
    }
    reply->start(200, {{"Content-Type", "text/event-stream"}});
    reply->on_closed([this, wanted] {
        // The client left: its generation must not hold a slot.
        stand_in_.thread().post_wait([this, wanted] {
            engine_.cancel(wanted.request_id_, wanted.attempt_);
        });
    });
    streams_.emplace(sequence, std::move(added));
    if (faults_->crossed_ > 0) {
        cross(sequence);
    }
}

// Swaps the answers of `sequence` and of another one, if there is one.
auto runner_server::cross(std::uint64_t sequence) -> void {
    auto& own = streams_.at(sequence);
    for (auto& [id, other] : streams_) {
        if (id != sequence && !other->ended_) {
            std::swap(own->reply_, other->reply_);
            std::swap(own->peer_, other->peer_);
            --faults_->crossed_;
            return;
        }
    }
}

auto runner_server::order(const http_request& request,
                          const http_exchange_ptr& reply) -> void {
    const auto wanted = internal::order_from_json(json::parse(request.body_));
    if (!wanted) {
        respond_error(*reply, 400, "bad_action");
        return;
    }
    if (internal::take(faults_->drop_orders_)) {
        drop_answer(*reply);
        return;
    }
    if (internal::take(faults_->delay_orders_)) {
        stand_in_.thread().after(
            milliseconds{faults_->delay_orders_ms_},
            [this, order = *wanted] { give_order(order); });
        drop_answer(*reply);
        return;
    }
    const auto answer = give_order(*wanted);
    if (internal::take(faults_->lost_order_answers_)) {
        drop_answer(*reply);
    } else if (answer == order_answer::stale_fencing) {
        respond_json(*reply, 409,
                     {{"error", "stale_fencing"},
                      {"highest", engine_.highest_fencing()}});
    } else if (answer == order_answer::insufficient_memory) {
        respond_error(*reply, 507, "insufficient_memory");
    } else {
        respond_json(*reply, 202,
                     {{"order_id", wanted->order_id_}, {"state", "accepted"}});
    }
}

auto runner_server::give_order(const engine_order& wanted) -> order_answer {
    const auto answer = engine_.order(wanted);
    for (const auto& accepted : engine_.take_loads()) {
        fetch_weights(accepted);
    }
    return answer;
}

auto runner_server::fetch_weights(const engine_order& wanted) -> void {
    const auto adapter = wanted.action_ == order_action::load_adapter;
    if (options_.weight_store_.empty()) {
        stand_in_.thread().after(
            ceil_ms(adapter ? options_.adapter_time_ : options_.load_time_),
            [this, id = wanted.order_id_] { load_ended(id, true); });
        return;
    }
    auto call = transport::http_call{};
    call.url_ = "http://" + options_.weight_store_ +
                "/v1/weights?kind=" + (adapter ? "adapter" : "model");
    client_->fetch(call, [this, id = wanted.order_id_](
                             const result<transport::http_reply>& fetched) {
        const auto loaded = fetched.has_value() && fetched->status_ == 200;
        stand_in_.thread().post_wait(
            [this, id, loaded] { load_ended(id, loaded); });
    });
}

auto runner_server::load_ended(const std::string& order_id, bool loaded)
    -> void {
    engine_.load_ended(order_id, loaded);
}

auto runner_server::tick() -> void {
    for (const auto& event : engine_.advance()) {
        deliver(event);
    }
    const auto due = engine_.next_due();
    const auto now = clock_.now();
    if (due && (wake_ <= now || *due < wake_)) {
        wake_ = *due;
        stand_in_.thread().after(ceil_ms(*due - now), [this] { tick(); });
    }
}

auto runner_server::deliver(const generation_event& event) -> void {
    const auto found = streams_.find(event.sequence_);
    if (found == streams_.end()) {
        return;
    }
    const auto to = found->second;
    if (to->late_ == milliseconds{0}) {
        send(to, event);
    } else {
        stand_in_.thread().after(to->late_,
                                 [this, to, event] { send(to, event); });
    }
    if (event.finish_) {
        streams_.erase(found);
    }
}

auto runner_server::send(const std::shared_ptr<stream>& to,
                         const generation_event& event) -> void {
    if (to->ended_ || stand_in_.is_silent(to->peer_)) {
        return;
    }
    if (event.position_ >= to->cut_position_) {
        cut_off(to);
        return;
    }
    const auto data =
        event.finish_
            ? json{{"finish", finish_reason_names.name_of(*event.finish_)}}
            : json{{"text", event.text_}};
    const auto piece = "id: " + to->id_prefix_ +
                       std::to_string(event.position_) +
                       "\ndata: " + data.dump() + "\n\n";
    to->reply_->write(piece);
    if (to->doubled_) {
        to->reply_->write(piece);
    }
    if (event.finish_) {
        to->ended_ = true;
        to->reply_->finish();
    }
}

auto runner_server::cut_off(const std::shared_ptr<stream>& ended) -> void {
    ended->ended_ = true;
    if (ended->breaks_) {
        ended->reply_->abort();
    } else {
        ended->reply_->finish();
    }
}

} // namespace basilstream::testing
