#include "basilstream/daemon/relay/relay.hpp"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

#include "basilstream/daemon/relay/internal/exchange.hpp"
#include "basilstream/daemon/relay/internal/parts.hpp"

namespace basilstream::daemon {
namespace internal {
namespace {

// Attempts per request, including those that a backend server refused.
constexpr auto max_attempts = 4;
// Short, as retries go to other backend servers and need not wait for the
// failed one to recover.
constexpr auto first_retry_delay = milliseconds{4};
constexpr auto max_retry_delay = milliseconds{50};
// Share of the retry limit that the daemons use. The rest is a margin because
// the windows in which the daemons count retries are not aligned with the
// window of the limit.
constexpr auto retry_budget_share = 0.8;
// Share of the connection limit of a backend server that the daemons divide
// among themselves. The rest is a margin for daemons that are starting and for
// daemons that do not yet know all members.
constexpr auto connection_share = 0.8;
// Covers the expiry of an announcement and an outage of the store, during which
// removals are not listed.
constexpr auto crash_detection_window = seconds{30};
// Daemons notice the crashes of servers that end together within this time.
constexpr auto crash_coincidence = milliseconds{100};
// A request that crashes servers may come again after hours. A complete answer
// clears a harmless one sooner.
constexpr auto suspicion_lifetime = std::chrono::hours{24};
// Takes less than 10 MB at about 400 bytes each.
constexpr auto max_suspected_requests = std::size_t{16'384};
// How long a request without a deadline waits for memory for its body.
constexpr auto max_body_wait = seconds{2};
// Half of the longest timeout of a route.
constexpr auto longest_body_wait = seconds{10};
// Bound of the random number that distinguishes the runs of a restarted daemon.
constexpr auto max_run_id_nonce = std::uint64_t{1} << 32U;
// Size of the header fields that a daemon adds to a forwarded request, at most.
constexpr auto forwarding_header_bytes = 1024;
// Part of the wait by which hints to return after a refusal are spread.
constexpr auto refusal_spread = 0.25;
// Connections per backend server for services without a configured limit.
constexpr auto default_connection_limit = 64;
// The first loads of other daemons arrive within this time, depending on the
// number of daemons.
constexpr auto least_load_interval = milliseconds{500};
constexpr auto load_interval_per_daemon = milliseconds{10};

// A call that receives no first byte, or no further byte, within these times is
// treated as silent and retried on another backend server if the request may
// run again. Clients disconnect from a stream after two seconds without an
// event. The first event of a stream waits for a free slot and for prefill, so
// runners get more time than services without models, which answer within
// their objectives.
constexpr auto silence_timeouts = coordination::liveness_settings{
    .runner_ = {.first_byte_ = milliseconds{1800},
                .progress_ = milliseconds{1200},
                .heartbeat_interval_ = duration{0},
                .heartbeat_timeout_ = duration{0}},
    .service_ = {.first_byte_ = milliseconds{400},
                 .progress_ = milliseconds{400},
                 .heartbeat_interval_ = duration{0},
                 .heartbeat_timeout_ = duration{0}}};

auto make_retry_settings(const relay_settings& settings, std::size_t daemons,
                         time_point allowance_from)
    -> coordination::retry_settings {
    const auto window =
        std::chrono::duration<double>(settings.retry_window_).count();
    auto policy_settings = coordination::retry_settings{};
    policy_settings.budget_ratio_ = retry_budget_share * settings.retry_ratio_;
    policy_settings.budget_per_second_ = retry_budget_share *
                                         settings.retry_allowance_ / window /
                                         static_cast<double>(daemons);
    policy_settings.budget_per_second_from_ = allowance_from;
    policy_settings.max_attempts_ = max_attempts;
    policy_settings.first_delay_ = first_retry_delay;
    policy_settings.longest_delay_ = max_retry_delay;
    policy_settings.retry_hint_ = settings.retry_hint_;
    return policy_settings;
}

auto make_router_settings() -> coordination::router_settings {
    // No preferred zone: within one region, load affects latency far more than
    // distance does.
    return {.zone_ = {}};
}

} // namespace

// Suspected requests run without a grant of the quarantine arbiter: most
// requests that were on a crashed backend server did not cause the crash, and
// their clients are waiting. Each suspicion is gossiped only once to limit
// traffic, as a crash makes every request in flight on the backend server
// suspected.
auto make_quarantine_settings() -> coordination::quarantine_settings {
    auto policy_settings = coordination::quarantine_settings{};
    policy_settings.isolate_suspects_ = false;
    policy_settings.count_lost_connections_ = true;
    policy_settings.coincidence_ = crash_coincidence;
    policy_settings.announcement_count_ = 1;
    policy_settings.crash_detection_window_ = crash_detection_window;
    policy_settings.suspicion_lifetime_ = suspicion_lifetime;
    policy_settings.capacity_ = max_suspected_requests;
    return policy_settings;
}

auto boot_id_of(std::int64_t started_at) -> std::string {
    return started_at == 0 ? std::string{} : std::to_string(started_at);
}

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
      resume_requests_{
          metrics.add_counter("basilstream_relay_resume_requests_total",
                              "Requests of clients to resume a stream.")},
      client_disconnects_{metrics.add_counter(
          "basilstream_relay_clients_left_total", "Clients that left early.")},
      ended_by_connection_{metrics.add_counter(
          "basilstream_relay_answers_ended_by_connection_total",
          "Answers whose end is the end of their connection.")},
      oversized_answers_{metrics.add_counter(
          "basilstream_relay_oversized_answers_total",
          "Answers that were cut off because they exceeded a bound.")},
      forwarded_{metrics.add_counter(
          "basilstream_relay_forwarded_total",
          "Requests sent to other daemons, as no server was reached.")},
      taken_from_peers_{
          metrics.add_counter("basilstream_relay_taken_from_peers_total",
                              "Requests that other daemons have forwarded.")},
      unauthenticated_{
          metrics.add_counter("basilstream_relay_unauthenticated_total",
                              "Requests without a known API key.")},
      bodies_too_slow_{metrics.add_counter(
          "basilstream_relay_bodies_too_slow_total",
          "Requests refused as their bodies made too little progress.")},
      bodies_without_memory_{metrics.add_counter(
          "basilstream_relay_bodies_without_memory_total",
          "Requests refused as there was no memory for their bodies.")},
      unread_answers_ended_{metrics.add_counter(
          "basilstream_relay_unread_answers_ended_total",
          "Answers ended as their clients took nothing of them.")},
      discards_ended_{metrics.add_counter(
          "basilstream_relay_discards_ended_total",
          "Refused clients that sent more than is read of them.")},
      discarded_bytes_{
          metrics.add_counter("basilstream_relay_discarded_bytes_total",
                              "Bytes read and discarded after refusals.")},
      first_byte_{metrics.add_histogram(
          "basilstream_relay_first_byte_seconds",
          "Time to an answer or a stream's first event.")},
      total_time_{metrics.add_histogram("basilstream_relay_whole_seconds",
                                        "Time to the end of a request.")} {}

relay_state::relay_state(const relay_context& context, relay_settings settings,
                         const backend_dialect& dialect,
                         model_provisioner& provisioner)
    : context_{context}, settings_{std::move(settings)}, dialect_{dialect},
      provisioner_{provisioner}, counters_{context.metrics_},
      run_id_prefix_{settings_.name_ + "/" +
                     std::to_string(context.random_.below(max_run_id_nonce)) +
                     "/"},
      request_bodies_{settings_.memory_.body_bytes_},
      bodies_{request_bodies_, coordination::body_admission_settings{}},
      buffered_answers_{settings_.memory_.answer_bytes_},
      undelivered_answers_{settings_.memory_.answer_bytes_},
      usage_{context.metrics_}, router_{make_router_settings(),
                                        context.random_},
      speeds_{context.clock_, context.log_, context.metrics_, router_,
              settings_.speed_spread_},
      pool_{context.thread_, context.clock_},
      retry_allowance_from_{context.clock_.now() +
                            settings_.retry_allowance_delay_},
      quarantine_{make_quarantine_settings(), settings_.name_},
      prompts_{{}, settings_.name_}, call_monitor_{silence_timeouts},
      started_at_{context.clock_.now()}, shedding_{context.metrics_} {
    context_.metrics_.add_gauge(
        "basilstream_relay_buffered_answer_bytes",
        "Bytes of answers that wait for the rest of an event or an answer.",
        [this] { return static_cast<double>(buffered_answers_.used()); });
    context_.metrics_.add_gauge(
        "basilstream_relay_undelivered_answer_bytes",
        "Bytes of answers that clients have not taken.",
        [this] { return static_cast<double>(undelivered_answers_.used()); });
    context_.notices_.on_leaving([this](const std::string& backend) {
        router_.mark_leaving(backend);
        if (const auto found = backends_.find(backend);
            found != backends_.end()) {
            found->second.draining_ = true;
        }
    });
    context_.notices_.on_pause(
        [this](const std::string& backend, time_point until) {
            router_.set_paused_until(backend, until);
        });
}

relay_state::~relay_state() = default;

auto relay_state::retry_policy_of(const std::string& service)
    -> coordination::retry_policy& {
    const auto found = retry_policies_.find(service);
    if (found != retry_policies_.end()) {
        return found->second;
    }
    return retry_policies_
        .emplace(service, coordination::retry_policy{make_retry_settings(
                                                         settings_, daemons_,
                                                         retry_allowance_from_),
                                                     context_.random_})
        .first->second;
}

auto relay_state::connection_limit(const std::string& service) const -> int {
    const auto& config = routes_.config();
    const auto* const found = config ? config->find_service(service) : nullptr;
    const auto limit = found == nullptr || found->connection_limit_ <= 0
                           ? default_connection_limit
                           : found->connection_limit_;
    return std::max(1, static_cast<int>(connection_share * limit /
                                        static_cast<double>(daemons_)));
}

auto relay_state::start_time(const std::string& backend) const -> std::int64_t {
    const auto found = backends_.find(backend);
    return found == backends_.end() ? 0 : found->second.started_at_;
}

auto relay_state::software_version(const std::string& backend) const
    -> std::string {
    const auto found = backends_.find(backend);
    return found == backends_.end() ? std::string{}
                                    : found->second.software_version_;
}

auto relay_state::on_backend_crash(const std::string& backend,
                                   const char* evidence) -> void {
    const auto runs = quarantine_.on_crash(backend, context_.clock_.now());
    prompts_.on_crash(backend, context_.clock_.now());
    context_.log_.info("backend server crashed",
                       {{"backend", backend},
                        {"backend_start", std::to_string(start_time(backend))},
                        {"evidence", evidence},
                        {"runs", std::to_string(runs)}});
}

auto relay_state::refuse(transport::http_session& session, int status,
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

auto relay_state::make_server_options(const std::string& address)
    -> transport::http_session_options {
    auto options = transport::http_session_options{.address_ = address};
    options.on_cut_ = [this](const auto& cut) {
        log_cut(cut);
    };
    options.output_budget_ = &undelivered_answers_;
    options.body_budget_ = &request_bodies_;
    options.bodies_ = &bodies_;
    options.receive_buffer_bytes_ = settings_.memory_.receive_buffer_bytes_;
    options.send_buffer_bytes_ = settings_.memory_.send_buffer_bytes_;
    if (settings_.memory_.connections_ > 0) {
        options.max_sessions_ =
            std::min(options.max_sessions_, settings_.memory_.connections_);
    }
    options.max_body_wait_ = [this](const auto& head) {
        const auto request = dialect_.read(head);
        return request && request->client_timeout_
                   ? std::min<milliseconds>(*request->client_timeout_ / 2,
                                            longest_body_wait)
                   : max_body_wait;
    };
    options.refuse_body_ = [this](transport::request_message message,
                                  transport::http_session& session) {
        const auto request = dialect_.read(std::move(message));
        refuse(session, 503, request ? request->id_ : std::string{},
               "no memory for the body of the request");
    };
    return options;
}

auto relay_state::set_forwarding_limits(
    const coordination::client_limits& limits) -> void {
    // Leaves room for the fields that daemons add.
    forwarding_server_->set_limits(
        {limits.header_bytes_ + internal::forwarding_header_bytes,
         limits.body_bytes_},
        limits.header_timeout_, limits.idle_timeout_);
}

auto relay_state::has_answer_memory() const -> bool {
    return buffered_answers_.used() + undelivered_answers_.used() <=
           settings_.memory_.answer_bytes_;
}

auto relay_state::resume_answers() -> void {
    auto used = buffered_answers_.used() + undelivered_answers_.used();
    while (!awaiting_memory_.empty()) {
        const auto first = awaiting_memory_.front().lock();
        if (first && first->awaits_memory()) {
            const auto missing = first->missing_bytes();
            const auto fits = used + missing <= settings_.memory_.answer_bytes_;
            if (!fits && !may_exceed_answer_memory()) {
                end_unread_answers(missing);
                return;
            }
            first->resume_reading(!fits);
            preferred_answer_ = fits ? preferred_answer_ : first;
            used += missing;
        }
        awaiting_memory_.pop_front();
    }
}

auto relay_state::end_unread_answers(std::size_t bytes) -> void {
    server_->end_unread_answers(bytes);
    if (forwarding_server_) {
        forwarding_server_->end_unread_answers(bytes);
    }
}

auto relay_state::count_clients() -> void {
    auto now = transport::client_counts{};
    const auto add = [&now](const transport::client_counts& counts) {
        now.bodies_too_slow_ += counts.bodies_too_slow_;
        now.bodies_without_memory_ += counts.bodies_without_memory_;
        now.unread_answers_ended_ += counts.unread_answers_ended_;
        now.discards_ended_ += counts.discards_ended_;
        now.discarded_bytes_ += counts.discarded_bytes_;
    };
    add(server_->counts());
    if (forwarding_server_) {
        add(forwarding_server_->counts());
    }
    const auto before = std::exchange(counted_, now);
    counters_.bodies_too_slow_.add(now.bodies_too_slow_ -
                                   before.bodies_too_slow_);
    counters_.bodies_without_memory_.add(now.bodies_without_memory_ -
                                         before.bodies_without_memory_);
    counters_.unread_answers_ended_.add(now.unread_answers_ended_ -
                                        before.unread_answers_ended_);
    counters_.discards_ended_.add(now.discards_ended_ - before.discards_ended_);
    counters_.discarded_bytes_.add(now.discarded_bytes_ -
                                   before.discarded_bytes_);
}

auto relay_state::may_exceed_answer_memory() const -> bool {
    const auto preferred = preferred_answer_.lock();
    return undelivered_answers_.used() <= settings_.memory_.answer_bytes_ / 2 &&
           (!preferred || !preferred->preferred());
}

auto relay_state::log_cut(const transport::cut_connection& cut) -> void {
    const auto* const cut_exchange =
        dynamic_cast<const exchange*>(cut.observer_);
    const auto request = cut_exchange == nullptr ? exchange_description{}
                                                 : cut_exchange->describe();
    context_.log_.info(
        "client connection ended before its answer",
        {{"request_id", request.request_id_},
         {"route", request.route_},
         {"model", request.model_},
         {"backend", request.backend_},
         {"backend_load", request.backend_load_},
         {"reason", transport::close_reason_names.name_of(cut.reason_)},
         {"answering", cut.answering_ ? "yes" : "no"},
         {"unsent_bytes", std::to_string(cut.unsent_bytes_)},
         {"waited_ms",
          std::to_string(
              std::chrono::duration_cast<milliseconds>(cut.waited_).count())}});
}

auto relay_state::callers_compete() const -> bool {
    const auto& config = routes_.config();
    if (!settings_.least_cost_ || !config) {
        return false;
    }
    const auto& services = speeds_.speeds().services();
    return config->requires_keys_ ||
           std::any_of(
               services.begin(), services.end(),
               [](const auto& service) { return service.second.weighted_; });
}

auto relay_state::knows_loads(time_point now) const -> bool {
    return peer_load_reports_ > 0 ||
           now >= started_at_ +
                      std::max<duration>(least_load_interval,
                                         load_interval_per_daemon * daemons_);
}

auto relay_state::handle_silent_calls() -> void {
    for (const auto& action : call_monitor_.tick(context_.clock_.now())) {
        const auto* const silent_request =
            std::get_if<coordination::request_action>(&action);
        // A request that must not run twice keeps waiting: its answer may still
        // arrive.
        if (silent_request == nullptr ||
            silent_request->fate_ ==
                coordination::request_fate::outcome_unknown) {
            continue;
        }
        const auto found = monitored_calls_.find(silent_request->connection_);
        if (found != monitored_calls_.end()) {
            found->second->on_backend_silent();
        }
    }
}

auto relay_state::end_on_shutdown(bool include_running) -> void {
    const auto snapshot = std::vector<std::shared_ptr<exchange>>{
        exchanges_.begin(), exchanges_.end()};
    for (const auto& open_exchange : snapshot) {
        open_exchange->end_on_shutdown(include_running);
    }
}

auto relay_state::charge(const std::string& organisation, double units,
                         const std::string& request_id,
                         transport::http_session& session) -> bool {
    const auto refusal = context_.allowances_.try_spend(organisation, units);
    if (!refusal) {
        usage_.on_admitted(organisation, units);
        return true;
    }
    usage_.on_refused(organisation, refusal_kind::allowance);
    counters_.refused_.add();
    // Jitter keeps clients that were refused at the same time from retrying at
    // the same time.
    const auto wait = std::chrono::ceil<milliseconds>(
        std::chrono::duration<double, duration::period>(refusal->wait_) *
        (1 + refusal_spread * context_.random_.fraction()));
    context_.log_.info(
        "request refused",
        {{"request_id", request_id},
         {"status", "429"},
         {"organisation", organisation},
         {"detail", "the allowance of the organisation is used up"},
         {"units", std::to_string(std::llround(units))},
         {"level", std::to_string(std::llround(refusal->level_))},
         {"level_age_ms",
          refusal->age_
              ? std::to_string(
                    std::chrono::duration_cast<milliseconds>(*refusal->age_)
                        .count())
              : std::string{"never"}},
         {"share", std::to_string(refusal->share_)},
         {"retry_after_ms", std::to_string(wait.count())}});
    session.respond(429, dialect_.local_reply_headers(request_id, wait), "");
    return false;
}

auto relay_state::on_request(transport::request_message message,
                             transport::http_session& session) -> void {
    auto request = dialect_.read(std::move(message));
    if (!request) {
        refuse(session, 400, "", "malformed annotation in the request headers");
        return;
    }
    if (!accepting_) {
        refuse(session, 503, request->id_, "the daemon is stopping");
        return;
    }
    if (!routes_.config()) {
        refuse(session, 503, request->id_, "no configuration received yet");
        return;
    }
    const auto* const route =
        routes_.match(request->host_, request->message_.target_);
    if (route == nullptr || route->targets_.empty()) {
        refuse(session, 404, request->id_, "no route matches the request");
        return;
    }
    const auto caller = organisations_->authenticate(*route, request->api_key_);
    if (caller.outcome_ == coordination::authentication_outcome::rejected) {
        counters_.unauthenticated_.add();
        refuse(session, 401, request->id_, "no known API key");
        return;
    }
    auto identity = request_caller{organisations_};
    if (caller.organisation_ != nullptr) {
        identity.organisation_ = caller.organisation_->name_;
        const auto tokens = request->declares_tokens_
                                ? std::optional{request->prompt_tokens_ +
                                                request->output_tokens_}
                                : std::nullopt;
        identity.charged_units_ =
            coordination::allowance_cost(*caller.organisation_, tokens);
        if (!charge(identity.organisation_, identity.charged_units_,
                    request->id_, session)) {
            return;
        }
    }
    const auto new_exchange =
        std::make_shared<exchange>(*this, session, routes_.config(), *route,
                                   std::move(*request), std::move(identity));
    exchanges_.insert(new_exchange);
    new_exchange->start();
}

} // namespace internal

using internal::exchange;
using internal::relay_state;

relay::relay(const relay_context& context, relay_settings settings,
             const backend_dialect& dialect, model_provisioner& provisioner)
    : state_{std::make_unique<relay_state>(context, std::move(settings),
                                           dialect, provisioner)} {
    auto& state = *state_;
    auto options = state.make_server_options(state.settings_.address_);
    options.defers_accepting_ = state.settings_.defers_accepting_;
    state.server_ = std::make_unique<transport::http_session_server>(
        context.thread_, context.clock_, std::move(options),
        [&state](transport::request_message request,
                 transport::http_session& session) {
            state.on_request(std::move(request), session);
        });
}

relay::~relay() = default;

auto relay::open() -> result<void> {
    return state_->server_->listen();
}

auto relay::begin_accepting() -> void {
    state_->server_->begin_accepting();
}

auto relay::open_forwarding(const std::string& address) -> result<std::string> {
    auto& state = *state_;
    auto options = state.make_server_options(address);
    options.max_sessions_ = std::min(
        options.max_sessions_,
        transport::max_sessions_of(transport::client_kind::forwarding_daemons));
    auto opened = transport::http_session_server::open(
        state.context_.thread_, state.context_.clock_, std::move(options),
        [&state](transport::request_message request,
                 transport::http_session& session) {
            state.on_forwarded_request(std::move(request), session);
        });
    if (!opened) {
        return tl::unexpected(opened.error());
    }
    state.forwarding_server_ = std::move(*opened);
    if (state.routes_.config()) {
        state.set_forwarding_limits(state.routes_.config()->limits_);
    }
    state.context_.forwarding_.set_listener(
        state.forwarding_server_->address(), [&state] {
            auto told = forwarding_state{};
            for (const auto& [service, links] : state.links_) {
                if (!links.reached_) {
                    told.unreached_.push_back(service);
                }
            }
            told.in_progress_ = state.exchanges_.size();
            return told;
        });
    return state.forwarding_server_->address();
}

auto relay::set_config(std::shared_ptr<const coordination::relay_config> config)
    -> void {
    auto& state = *state_;
    const auto& limits = config->limits_;
    if (!state.routes_.replace(config)) {
        return;
    }
    state.organisations_ =
        std::make_shared<coordination::organisation_index>(config);
    state.context_.allowances_.set_organisations(config->organisations_);
    for (const auto& problem : state.organisations_->problems()) {
        state.context_.log_.warning("part of the configuration is not used",
                                    {{"detail", problem}});
    }
    state.server_->set_limits({limits.header_bytes_, limits.body_bytes_},
                              limits.header_timeout_, limits.idle_timeout_);
    if (state.forwarding_server_) {
        state.set_forwarding_limits(limits);
    }
    state.context_.log_.info(
        "configuration activated",
        {{"version", std::to_string(config->version_)},
         {"routes", std::to_string(config->routes_.size())},
         {"services", std::to_string(config->services_.size())},
         {"organisations", std::to_string(config->organisations_.size())}});
}

auto relay::set_backend(const coordination::backend_server& server) -> void {
    auto& state = *state_;
    auto& notices = state.context_.notices_;
    notices.set_server(server.id_, server.started_at_);
    const auto leaving = server.draining_ || notices.is_leaving(server.id_);
    auto info = coordination::runner_info{
        .name_ = server.id_,
        .address_ = server.address_,
        .zone_ = server.zone_,
        .boot_id_ = internal::boot_id_of(server.started_at_),
        .software_version_ = server.software_version_,
        .slots_ = server.slots_,
        .leaving_ = leaving,
        .residents_ = {}};
    for (const auto& model : server.models_) {
        info.residents_.push_back(
            {internal::routing_key(server.service_, model.name_),
             std::to_string(model.version_), model.adapters_, true});
    }
    if (server.models_.empty()) {
        info.residents_.push_back({server.service_, {}, {}, true});
    }
    const auto previous = state.backends_.find(server.id_);
    if (previous != state.backends_.end() && server.started_at_ != 0 &&
        previous->second.started_at_ != 0 &&
        previous->second.started_at_ != server.started_at_) {
        state.on_backend_crash(server.id_, "started anew");
    }
    state.backends_[server.id_] = {server.service_, server.address_,
                                   server.started_at_, server.software_version_,
                                   leaving};
    state.router_.update_runner(info);
    auto models = std::vector<std::string>{};
    for (const auto& resident : info.residents_) {
        models.push_back(resident.model_);
    }
    state.speeds_.speeds().set_server(
        {server.id_, server.service_, info.boot_id_, std::move(models)});
    state.context_.permits_.set_server(server.id_, server.service_,
                                       server.started_at_, server.slots_);
    state.router_.set_paused_until(server.id_,
                                   notices.end_of_pause(server.id_));
    state.context_.streams_.set_server(server.id_, server.service_,
                                       server.software_version_);
    const auto open_exchanges = std::vector<std::shared_ptr<exchange>>{
        state.exchanges_.begin(), state.exchanges_.end()};
    for (const auto& open_exchange : open_exchanges) {
        open_exchange->on_backends_changed();
    }
}

auto relay::remove_backend(const std::string& id) -> void {
    auto& state = *state_;
    const auto previous = state.backends_.find(id);
    if (previous != state.backends_.end() && !previous->second.draining_) {
        state.on_backend_crash(id, "announcement gone");
    }
    state_->router_.remove_runner(id);
    state_->speeds_.speeds().remove_server(id);
    state_->backends_.erase(id);
    state_->context_.permits_.remove_server(id);
    state_->context_.notices_.remove_server(id);
    state_->context_.streams_.remove_server(id);
    state_->last_received_at_.erase(id);
    state_->shedding_.estimates().remove_server(id);
}

auto relay::set_daemons(std::size_t count) -> void {
    auto& state = *state_;
    state.daemons_ = std::max<std::size_t>(count, 1);
    const auto settings = internal::make_retry_settings(
        state.settings_, state.daemons_, state.retry_allowance_from_);
    for (auto& [service, policy] : state.retry_policies_) {
        policy.set_budget_per_second(settings.budget_per_second_);
    }
}

auto relay::set_peer_load(const std::string& backend, int requests) -> void {
    auto& state = *state_;
    const auto own = state.router_.in_flight(backend);
    state.router_.on_load_report({.runner_ = backend,
                                  .sequence_ = ++state.peer_load_reports_,
                                  .running_ = own + requests,
                                  .waiting_ = 0},
                                 state.context_.clock_.now());
}

auto relay::set_peer_load_age(duration age) -> void {
    state_->router_.set_report_lag(age);
}

auto relay::set_model_demands(
    const std::vector<protocol::model_demand>& demands) -> void {
    auto loads = std::map<std::string, double>{};
    for (const auto& demand : demands) {
        loads[internal::routing_key(demand.service_, demand.model_)] =
            demand.tokens_per_second_;
    }
    state_->router_.set_model_loads(std::move(loads),
                                    state_->context_.clock_.now());
}

auto relay::speeds() const -> coordination::server_speeds& {
    return state_->speeds_.speeds();
}

auto relay::update_speeds(bool gets_all_samples) -> void {
    state_->speeds_.update(gets_all_samples);
}

auto relay::backend_pool() -> transport::http_pool& {
    return state_->pool_;
}

auto relay::journal() const -> const request_journal& {
    return state_->journal_;
}

auto relay::usage() const -> const organisation_usage& {
    return state_->usage_;
}

auto relay::config_version() const -> std::uint64_t {
    const auto& config = state_->routes_.config();
    return config ? config->version_ : 0;
}

auto relay::crash_quarantine() -> coordination::quarantine& {
    return state_->quarantine_;
}

auto relay::prompt_quarantine() -> coordination::prompt_quarantine& {
    return state_->prompts_;
}

auto relay::local_loads() const -> std::map<std::string, int> {
    auto loads = std::map<std::string, int>{};
    for (const auto& [id, backend] : state_->backends_) {
        if (const auto count = state_->router_.in_flight(id); count > 0) {
            loads[id] = count;
        }
    }
    return loads;
}

auto relay::set_retry_limits(double ratio, double allowance, duration window)
    -> void {
    auto& settings = state_->settings_;
    settings.retry_ratio_ = ratio;
    settings.retry_allowance_ = allowance;
    settings.retry_window_ = window;
    for (auto& [service, policy] : state_->retry_policies_) {
        policy.set_budget_ratio(internal::retry_budget_share * ratio);
    }
    set_daemons(state_->daemons_);
}

auto relay::set_least_cost(bool enabled) -> void {
    state_->settings_.least_cost_ = enabled;
}

auto relay::stop_accepting() -> void {
    state_->accepting_ = false;
    state_->refuses_from_ = state_->context_.clock_.now();
    state_->end_on_shutdown(false);
}

auto relay::end_all() -> void {
    state_->accepting_ = false;
    state_->end_on_shutdown(true);
}

auto relay::begin_draining() -> void {
    state_->server_->set_draining();
}

auto relay::close_idle() -> void {
    state_->server_->close_idle();
    if (state_->forwarding_server_) {
        state_->forwarding_server_->close_idle();
    }
}

auto relay::in_progress() const -> std::size_t {
    return state_->exchanges_.size();
}

auto relay::undelivered() const -> std::size_t {
    const auto& state = *state_;
    return state.server_->undelivered() +
           (state.forwarding_server_ ? state.forwarding_server_->undelivered()
                                     : 0);
}

auto relay::receiving() const -> std::size_t {
    const auto& state = *state_;
    const auto began_by =
        state.refuses_from_.value_or(state.context_.clock_.now());
    return state.server_->receiving(began_by) +
           (state.forwarding_server_
                ? state.forwarding_server_->receiving(began_by)
                : 0);
}

auto relay::configured() const -> bool {
    return state_->routes_.config() != nullptr;
}

auto relay::sweep() -> void {
    auto& state = *state_;
    const auto now = state.context_.clock_.now();
    const auto open_exchanges = std::vector<std::shared_ptr<exchange>>{
        state.exchanges_.begin(), state.exchanges_.end()};
    for (const auto& open_exchange : open_exchanges) {
        open_exchange->enforce_deadline(now);
    }
    state.shedding_.serve_waiting(now);
    state.handle_silent_calls();
    state.check_reachability();
    state.pool_.sweep();
    state.server_->sweep();
    if (state.forwarding_server_) {
        state.forwarding_server_->sweep();
    }
    state.resume_answers();
    state.count_clients();
}

auto relay::address() const -> std::string {
    return state_->server_->address();
}

} // namespace basilstream::daemon
