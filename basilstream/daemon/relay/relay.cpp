#include "basilstream/daemon/relay/relay.hpp"

#include <algorithm>
#include <utility>
#include <vector>

#include "basilstream/daemon/relay/internal/exchange.hpp"
#include "basilstream/daemon/relay/internal/parts.hpp"

namespace basilstream::daemon {
namespace internal {
namespace {

// Sendings of one request, those that a server refused included.
constexpr auto sendings_at_most = 4;
// Retries go to other servers, so that they need not wait for recovery.
constexpr auto first_retry_delay = milliseconds{4};
constexpr auto longest_retry_delay = milliseconds{50};
// Share of the deployment's retries that is used: the daemons' windows and
// that of the limit begin at different moments.
constexpr auto shared_retries = 0.8;
// Share of a server's connections that the daemons divide among themselves;
// the rest is for daemons that start and for those that count fewer daemons.
constexpr auto shared_connections = 0.8;
// Assumed for a service that states no limit.
constexpr auto default_connections = 64;

// A server that shows no byte of an answer, or no further one, for so long is
// taken for silent, and what may run again is sent elsewhere. Clients leave a
// stream after two seconds without an event. A stream's first event waits for a
// slot and its prompt; plain services answer within their objectives.
constexpr auto silence_limits = coordination::liveness_settings{
    .runner_ = {.first_byte_ = milliseconds{1800},
                .progress_ = milliseconds{1200},
                .heartbeat_interval_ = duration{0},
                .heartbeat_timeout_ = duration{0}},
    .service_ = {.first_byte_ = milliseconds{400},
                 .progress_ = milliseconds{400},
                 .heartbeat_interval_ = duration{0},
                 .heartbeat_timeout_ = duration{0}}};

auto retry_settings_of(const relay_settings& settings, std::size_t daemons)
    -> coordination::retry_settings {
    const auto window =
        std::chrono::duration<double>(settings.retry_window_).count();
    auto made = coordination::retry_settings{};
    made.budget_ratio_ = shared_retries * settings.retry_ratio_;
    made.budget_per_second_ = shared_retries * settings.retry_allowance_ /
                              window / static_cast<double>(daemons);
    made.attempts_ = sendings_at_most;
    made.first_delay_ = first_retry_delay;
    made.longest_delay_ = longest_retry_delay;
    made.retry_hint_ = settings.retry_hint_;
    return made;
}

// Requests that were on a crashed server are mostly innocent, and their clients
// wait: no arbiter is asked. One crash is gossiped once, as every request in
// flight on the server is suspected.
auto quarantine_settings_of() -> coordination::quarantine_settings {
    auto made = coordination::quarantine_settings{};
    made.isolate_suspects_ = false;
    made.announcements_ = 1;
    return made;
}

auto router_settings_of() -> coordination::router_settings {
    // One region: near and far servers differ by far less than full and empty
    // ones, so that no zone goes before the load.
    return {.zone_ = {}};
}

} // namespace

auto routing_key(const std::string& service, const std::string& model)
    -> std::string {
    return model.empty() ? service : service + "/" + model;
}

relay_counters::relay_counters(transport::metrics_registry& metrics)
    : requests_{metrics.add_counter("basilstream_relay_requests_total",
                                    "Requests of clients.")},
      answered_{metrics.add_counter("basilstream_relay_answered_total",
                                    "Answers of backend servers passed on.")},
      refused_{metrics.add_counter("basilstream_relay_refused_total",
                                   "Requests refused as not run.")},
      failed_{metrics.add_counter("basilstream_relay_failed_total",
                                  "Requests that failed or timed out.")},
      retries_{metrics.add_counter("basilstream_relay_retries_total",
                                   "Requests sent again.")},
      resumed_{metrics.add_counter("basilstream_relay_resumed_total",
                                   "Streams resumed elsewhere.")},
      clients_left_{metrics.add_counter("basilstream_relay_clients_left_total",
                                        "Clients that left early.")},
      first_byte_{metrics.add_histogram(
          "basilstream_relay_first_byte_seconds",
          "Time to an answer or a stream's first event.")},
      whole_{metrics.add_histogram("basilstream_relay_whole_seconds",
                                   "Time to the end of a request.")} {}

relay_parts::relay_parts(const relay_context& context, relay_settings settings,
                         const backend_dialect& dialect, model_supply& supply)
    : context_{context}, settings_{std::move(settings)}, dialect_{dialect},
      supply_{supply}, counters_{context.metrics_},
      router_{router_settings_of(), context.random_}, pool_{context.thread_,
                                                            context.clock_},
      marks_{quarantine_settings_of(), settings_.name_}, silence_{
                                                             silence_limits} {}

relay_parts::~relay_parts() = default;

auto relay_parts::retries_of(const std::string& service)
    -> coordination::retry_policy& {
    const auto found = retries_.find(service);
    if (found != retries_.end()) {
        return found->second;
    }
    return retries_
        .emplace(service,
                 coordination::retry_policy{
                     retry_settings_of(settings_, daemons_), context_.random_})
        .first->second;
}

auto relay_parts::connection_limit(const std::string& service) const -> int {
    const auto& config = routes_.config();
    const auto* const found = config ? config->find_service(service) : nullptr;
    const auto limit = found == nullptr || found->connection_limit_ <= 0
                           ? default_connections
                           : found->connection_limit_;
    return std::max(1, static_cast<int>(shared_connections * limit /
                                        static_cast<double>(daemons_)));
}

auto relay_parts::refuse(transport::http_session& session, int status,
                         const std::string& request_id, const char* reason)
    -> void {
    counters_.refused_.add();
    context_.log_.info("request refused", {{"request_id", request_id},
                                           {"status", std::to_string(status)},
                                           {"detail", reason}});
    const auto hint =
        status == 503 ? std::optional{settings_.retry_hint_} : std::nullopt;
    session.respond(status, dialect_.local_reply_headers(request_id, hint), "");
}

auto relay_parts::act_on_silence() -> void {
    for (const auto& action : silence_.tick(context_.clock_.now())) {
        const auto* const moved =
            std::get_if<coordination::request_action>(&action);
        // What must not run twice waits on: the answer may still come.
        if (moved == nullptr ||
            moved->fate_ == coordination::request_fate::outcome_unknown) {
            continue;
        }
        const auto found = watched_.find(moved->connection_);
        if (found != watched_.end()) {
            found->second->on_silence();
        }
    }
}

auto relay_parts::end_for_stop(bool all) -> void {
    const auto open = std::vector<std::shared_ptr<exchange>>{exchanges_.begin(),
                                                             exchanges_.end()};
    for (const auto& each : open) {
        each->end_for_stop(all);
    }
}

auto relay_parts::on_request(transport::request_message message,
                             transport::http_session& session) -> void {
    auto request = dialect_.read(std::move(message));
    if (!request) {
        refuse(session, 400, "", "an annotation of the request is malformed");
        return;
    }
    if (!accepting_) {
        refuse(session, 503, request->id_, "the daemon is stopping");
        return;
    }
    if (!routes_.config()) {
        refuse(session, 503, request->id_, "no configuration is known yet");
        return;
    }
    const auto* const route =
        routes_.match(request->host_, request->message_.target_);
    if (route == nullptr || route->targets_.empty()) {
        refuse(session, 404, request->id_, "no route");
        return;
    }
    const auto made = std::make_shared<exchange>(
        *this, session, routes_.config(), *route, std::move(*request));
    exchanges_.insert(made);
    made->start();
}

} // namespace internal

using internal::exchange;
using internal::relay_parts;

relay::relay(const relay_context& context, relay_settings settings,
             const backend_dialect& dialect, model_supply& supply)
    : parts_{std::make_unique<relay_parts>(context, std::move(settings),
                                           dialect, supply)} {}

relay::~relay() = default;

auto relay::open() -> result<void> {
    auto& parts = *parts_;
    auto opened = transport::http_session_server::open(
        parts.context_.thread_, parts.context_.clock_,
        {.address_ = parts.settings_.address_},
        [&parts](transport::request_message request,
                 transport::http_session& session) {
            parts.on_request(std::move(request), session);
        });
    if (!opened) {
        return tl::unexpected(opened.error());
    }
    parts.server_ = std::move(*opened);
    return {};
}

auto relay::set_config(std::shared_ptr<const coordination::relay_config> config)
    -> void {
    auto& parts = *parts_;
    const auto& limits = config->limits_;
    if (!parts.routes_.replace(config)) {
        return;
    }
    parts.server_->set_limits({limits.header_bytes_, limits.body_bytes_},
                              limits.header_timeout_, limits.idle_timeout_);
    parts.context_.log_.info(
        "configuration in force",
        {{"version", std::to_string(config->version_)},
         {"routes", std::to_string(config->routes_.size())},
         {"services", std::to_string(config->services_.size())}});
}

auto relay::set_backend(const coordination::backend_server& server) -> void {
    auto& parts = *parts_;
    auto info = coordination::runner_info{
        .name_ = server.id_,
        .address_ = server.address_,
        .zone_ = server.zone_,
        .boot_id_ = std::to_string(server.started_at_),
        .slots_ = server.slots_,
        .leaving_ = server.draining_,
        .residents_ = {}};
    for (const auto& model : server.models_) {
        info.residents_.push_back(
            {internal::routing_key(server.service_, model.name_),
             std::to_string(model.version_), model.adapters_, true});
    }
    if (server.models_.empty()) {
        info.residents_.push_back({server.service_, {}, {}, true});
    }
    const auto known = parts.backends_.find(server.id_);
    if (known != parts.backends_.end() && server.started_at_ != 0 &&
        known->second.started_at_ != 0 &&
        known->second.started_at_ != server.started_at_) {
        parts.marks_.on_crash(server.id_, parts.context_.clock_.now());
    }
    parts.backends_[server.id_] = {server.service_, server.started_at_,
                                   server.draining_};
    parts.router_.update_runner(info);
    const auto all = std::vector<std::shared_ptr<exchange>>{
        parts.exchanges_.begin(), parts.exchanges_.end()};
    for (const auto& each : all) {
        each->on_backends_changed();
    }
}

auto relay::remove_backend(const std::string& id) -> void {
    auto& parts = *parts_;
    const auto known = parts.backends_.find(id);
    if (known != parts.backends_.end() && !known->second.draining_) {
        parts.marks_.on_crash(id, parts.context_.clock_.now());
    }
    parts_->router_.remove_runner(id);
    parts_->backends_.erase(id);
    parts_->last_bytes_.erase(id);
}

auto relay::set_daemons(std::size_t count) -> void {
    auto& parts = *parts_;
    parts.daemons_ = std::max<std::size_t>(count, 1);
    const auto settings =
        internal::retry_settings_of(parts.settings_, parts.daemons_);
    for (auto& [service, policy] : parts.retries_) {
        policy.set_budget_per_second(settings.budget_per_second_);
    }
}

auto relay::set_foreign_load(const std::string& backend, int requests) -> void {
    auto& parts = *parts_;
    const auto own = parts.router_.in_flight(backend);
    parts.router_.on_load_report({.runner_ = backend,
                                  .sequence_ = ++parts.foreign_reports_,
                                  .running_ = own + requests,
                                  .waiting_ = 0},
                                 parts.context_.clock_.now());
}

auto relay::set_load_lag(duration lag) -> void {
    parts_->router_.set_report_lag(lag);
}

auto relay::calls() -> transport::http_pool& {
    return parts_->pool_;
}

auto relay::journal() const -> const request_journal& {
    return parts_->journal_;
}

auto relay::config_version() const -> std::uint64_t {
    const auto& config = parts_->routes_.config();
    return config ? config->version_ : 0;
}

auto relay::marks() -> coordination::quarantine& {
    return parts_->marks_;
}

auto relay::loads() const -> std::map<std::string, int> {
    auto loads = std::map<std::string, int>{};
    for (const auto& [id, known] : parts_->backends_) {
        if (const auto count = parts_->router_.in_flight(id); count > 0) {
            loads[id] = count;
        }
    }
    return loads;
}

auto relay::set_retry_limits(double ratio, double allowance, duration window)
    -> void {
    auto& settings = parts_->settings_;
    settings.retry_ratio_ = ratio;
    settings.retry_allowance_ = allowance;
    settings.retry_window_ = window;
    for (auto& [service, policy] : parts_->retries_) {
        policy.set_budget_ratio(internal::shared_retries * ratio);
    }
    set_daemons(parts_->daemons_);
}

auto relay::stop_accepting() -> void {
    parts_->accepting_ = false;
    parts_->end_for_stop(false);
}

auto relay::end_all() -> void {
    parts_->accepting_ = false;
    parts_->end_for_stop(true);
}

auto relay::begin_draining() -> void {
    parts_->server_->set_draining();
}

auto relay::close_idle() -> void {
    parts_->server_->close_idle();
}

auto relay::in_progress() const -> std::size_t {
    return parts_->exchanges_.size();
}

auto relay::configured() const -> bool {
    return parts_->routes_.config() != nullptr;
}

auto relay::sweep() -> void {
    auto& parts = *parts_;
    const auto now = parts.context_.clock_.now();
    const auto all = std::vector<std::shared_ptr<exchange>>{
        parts.exchanges_.begin(), parts.exchanges_.end()};
    for (const auto& each : all) {
        each->check(now);
    }
    parts.act_on_silence();
    parts.pool_.sweep();
    parts.server_->sweep();
}

auto relay::address() const -> std::string {
    return parts_->server_->address();
}

} // namespace basilstream::daemon
