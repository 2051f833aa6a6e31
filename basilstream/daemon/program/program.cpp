#include "basilstream/daemon/program/program.hpp"

#include <atomic>
#include <set>

#include "basilstream/base/invariant/invariant.hpp"
#include "basilstream/daemon/admin/admin.hpp"
#include "basilstream/daemon/api/api.hpp"
#include "basilstream/daemon/limit_log/limit_log.hpp"
#include "basilstream/daemon/program/demand.hpp"
#include "basilstream/daemon/quarantine_link/quarantine_link.hpp"

namespace basilstream::daemon {
namespace {

// Maximum number of work items queued for the control thread.
constexpr auto control_queue_capacity = std::size_t{32'768};
constexpr auto max_platform_calls = std::size_t{4096};
constexpr auto max_order_calls = std::size_t{1024};
// Timer intervals of the control thread.
constexpr auto tick_interval = milliseconds{10};
constexpr auto slow_interval = milliseconds{50};
constexpr auto trace_interval = milliseconds{1000};

auto join_host_port(const std::string& address, std::uint16_t port)
    -> std::string {
    return address + ":" + std::to_string(port);
}

// Converts a listen error into a settings error that names the key.
auto add_settings_key(error failure, const std::string& section) -> error {
    failure.step_ = step::settings;
    failure.detail_ = "key " + section + ".port, value " + failure.peer_ +
                      ": must be a free port of a local address (" +
                      failure.detail_ + ")";
    return failure;
}

// Returns whether a record may change what is resident on a runner.
auto changes_residents(const state::record& body) -> bool {
    return std::holds_alternative<state::order_intent>(body) ||
           std::holds_alternative<state::order_outcome>(body) ||
           std::holds_alternative<state::runner_boot>(body) ||
           std::holds_alternative<state::runner_gone>(body) ||
           std::holds_alternative<state::resident_seen>(body);
}

auto drain_options(const daemon_settings& settings)
    -> coordination::drain_settings {
    auto options = coordination::drain_settings{};
    options.time_to_live_ = settings.endpoint_time_to_live_;
    return options;
}

// Clock, threads, clients and logger, which the components depend on.
struct process_resources {
    explicit process_resources(const daemon_settings& settings)
        : settings_{settings}, random_{entropy_seed()},
          control_{"control", control_queue_capacity},
          engines_{"engine", settings.requests_.max_open_requests_ * 2},
          platform_{"platform", max_platform_calls},
          orders_{"orders", max_order_calls}, log_{settings.logging_,
                                                   settings.name_} {}

    daemon_settings settings_;
    steady_clock clock_;
    seeded_random random_;
    transport::reactor_thread control_;
    transport::http_client engines_;
    transport::http_client platform_;
    transport::http_client orders_;
    transport::logger log_;

    auto base() -> context {
        return {clock_, random_, control_, engines_, platform_, orders_, log_};
    }
};

// The listening sockets, opened before anything else starts.
struct listeners {
    std::unique_ptr<transport::http_server> callers_;
    std::unique_ptr<transport::http_server> admin_;
};

// A handler that is set once the components exist. Until then `call` returns
// false and does nothing.
template <class... Arguments>
class deferred_handler {
public:
    auto set(std::function<void(Arguments...)> handler) -> void {
        handler_ = std::move(handler);
        ready_.store(true);
    }
    auto call(Arguments... arguments) -> bool {
        if (!ready_.load()) {
            return false;
        }
        handler_(std::move(arguments)...);
        return true;
    }

private:
    std::function<void(Arguments...)> handler_;
    std::atomic<bool> ready_{false};
};

using deferred_http_handler =
    deferred_handler<transport::http_request, transport::http_exchange_ptr>;
using deferred_peer_handler = deferred_handler<std::string, std::string>;

auto reject_until_ready(deferred_http_handler& handler_slot)
    -> transport::http_handler {
    return [&handler_slot](transport::http_request request,
                           transport::http_exchange_ptr reply) {
        const auto kept_reply = reply;
        if (!handler_slot.call(std::move(request), std::move(reply))) {
            kept_reply->respond(http_status(error_code::not_ready),
                                {{"Retry-After", "1"}}, {});
        }
    };
}

class daemon_program final : public program {
public:
    daemon_program(const daemon_settings& settings,
                   std::function<void()> on_shutdown_complete)
        : process_resources_{settings}, on_shutdown_complete_{
                                            std::move(on_shutdown_complete)} {}

    ~daemon_program() override {
        // Stop the servers first, so that no new requests arrive, then the
        // threads whose work refers to the components. The components are
        // destroyed last.
        listeners_.callers_.reset();
        listeners_.admin_.reset();
        process_resources_.control_.stop();
        process_resources_.engines_.stop();
        process_resources_.platform_.stop();
        process_resources_.orders_.stop();
    }

    auto open() -> result<void> {
        const auto& settings = process_resources_.settings_;
        auto callers = transport::http_server::open(
            {.address_ = settings.caller_.address_,
             .port_ = settings.caller_.port_,
             .threads_ = settings.caller_.threads_,
             .max_connections_ = settings.caller_.max_connections_,
             .max_body_bytes_ = settings.caller_.max_body_bytes_},
            reject_until_ready(caller_handler_));
        if (!callers) {
            return tl::unexpected(add_settings_key(callers.error(), "caller"));
        }
        auto operators =
            transport::http_server::open({.address_ = settings.admin_.address_,
                                          .port_ = settings.admin_.port_,
                                          .threads_ = 1,
                                          .max_connections_ = 64},
                                         reject_until_ready(admin_handler_));
        if (!operators) {
            return tl::unexpected(add_settings_key(operators.error(), "admin"));
        }
        auto link = transport::peer_link::open(
            {.address_ = settings.peer_.address_,
             .port_ = settings.peer_.port_},
            [this](std::string from, std::string bytes) {
                peer_handler_.call(std::move(from), std::move(bytes));
            });
        if (!link) {
            return tl::unexpected(add_settings_key(link.error(), "peer"));
        }
        listeners_.callers_ = std::move(*callers);
        listeners_.admin_ = std::move(*operators);
        peer_address_ = (*link)->address();
        components_ = std::make_unique<components>(
            process_resources_, std::move(*link), caller_address());
        connect();
        return {};
    }

    auto request_stop() -> void override {
        process_resources_.control_.post_wait([this] {
            process_resources_.log_.info("graceful shutdown requested");
            components_->drain_.request_stop(process_resources_.clock_.now());
        });
    }

    [[nodiscard]] auto caller_address() const -> std::string override {
        return join_host_port(process_resources_.settings_.caller_.address_,
                              listeners_.callers_->port());
    }
    [[nodiscard]] auto admin_address() const -> std::string override {
        return join_host_port(process_resources_.settings_.admin_.address_,
                              listeners_.admin_->port());
    }
    [[nodiscard]] auto peer_address() const -> std::string override {
        return peer_address_;
    }

private:
    // All components, in dependency order.
    struct components {
        components(process_resources& process,
                   std::unique_ptr<transport::peer_link> link,
                   std::string caller_address)
            : base_{process.base()}, settings_{process.settings_},
              incarnation_{settings_.name_ + "#" + make_id(process.random_)},
              traces_{{.zipkin_url_ = settings_.trace_.zipkin_url_,
                       .service_ = settings_.name_,
                       .sample_ = settings_.trace_.sample_},
                      process.platform_,
                      process.random_.next()},
              telemetry_{registry_, traces_}, router_{{.zone_ =
                                                           settings_.zone_},
                                                      process.random_},
              admission_{
                  {.queue_capacity_ = settings_.requests_.queue_capacity_},
                  router_,
                  process.random_},
              retries_{{}, process.random_},
              quarantine_{{}, settings_.name_}, policy_{router_, admission_,
                                                        retries_, quarantine_,
                                                        [this] {
                                                            poll_soon();
                                                        }},
              connection_{process.platform_, settings_.platform_.log_url_},
              limits_{base_, settings_, connection_, incarnation_},
              log_{base_, settings_, incarnation_, connection_,
                   limits_.permits()},
              peers_{
                  {base_.clock_, base_.random_, base_.log_},
                  {.name_ = settings_.name_,
                   .zone_ = settings_.zone_,
                   .seeds_ = settings_.peer_.seeds_,
                   .endpoint_time_to_live_ = settings_.endpoint_time_to_live_},
                  std::move(caller_address),
                  std::move(link)},
              quarantine_link_{base_, settings_, quarantine_, peers_, log_},
              fleet_{base_, settings_, policy_, log_}, claims_{base_, settings_,
                                                               connection_,
                                                               peers_,
                                                               incarnation_},
              demand_{base_, settings_, peers_,
                      [this] {
                          return shard_owners();
                      }},
              completions_{base_,
                           settings_.requests_,
                           policy_,
                           fleet_,
                           [this](const coordination::fingerprint_run& run,
                                  auto answer) {
                               quarantine_link_.request_isolation(
                                   run, std::move(answer));
                           },
                           telemetry_},
              services_{base_, settings_.requests_, policy_, claims_,
                        telemetry_},
              placement_{base_, settings_, log_, fleet_,
                         [this] {
                             return demand_.by_model();
                         }},
              api_{base_,
                   {settings_, log_, fleet_, peers_, completions_, services_,
                    telemetry_}},
              drain_{drain_options(settings_)}, admin_{base_,
                                                       {settings_, api_, log_,
                                                        fleet_, peers_,
                                                        completions_, services_,
                                                        claims_, placement_,
                                                        quarantine_, admission_,
                                                        drain_, telemetry_}} {
            telemetry_.on_served_ = [this](const std::string& model,
                                           std::uint64_t tokens) {
                demand_.add(model, tokens);
            };
        }

        // Posts a poll of the admission queue unless one is already pending.
        auto poll_soon() -> void {
            if (std::exchange(poll_pending_, true)) {
                return;
            }
            const auto posted =
                base_.control_.post([this] { poll_admission(); });
            poll_pending_ = posted;
        }

        // Returns the names of the daemons that own shards. An owner is
        // recorded as "NAME#INCARNATION".
        auto shard_owners() const -> std::set<std::string> {
            auto owners = std::set<std::string>{};
            for (const auto& [name, shard] : log_.state().shards()) {
                if (!shard.owner_.empty()) {
                    owners.insert(
                        shard.owner_.substr(0, shard.owner_.find('#')));
                }
            }
            return owners;
        }

        auto poll_admission() -> void {
            poll_pending_ = false;
            for (auto& event : admission_.poll(base_.clock_.now())) {
                if (services_.owns_request(event.request_id_)) {
                    services_.on_admission_event(event);
                } else {
                    completions_.on_admission_event(std::move(event));
                }
            }
        }

        context base_;
        daemon_settings& settings_;
        std::string incarnation_;
        transport::metrics_registry registry_;
        transport::tracer traces_;
        telemetry telemetry_;
        coordination::router router_;
        coordination::admission admission_;
        coordination::retry_policy retries_;
        coordination::quarantine quarantine_;
        traffic_policy policy_;
        transport::log_connection connection_;
        limit_log limits_;
        control_log log_;
        cluster peers_;
        quarantine_link quarantine_link_;
        fleet fleet_;
        claim_log claims_;
        demand_monitor demand_;
        completions completions_;
        services services_;
        placement_control placement_;
        api api_;
        coordination::drain_controller drain_;
        admin admin_;
        bool poll_pending_ = false;
    };

    auto connect() -> void {
        auto& daemon_components = *components_;
        daemon_components.fleet_.on_entries(
            [&daemon_components](const auto& entries) {
                daemon_components.peers_.update_listed_peers(entries);
            });
        daemon_components.fleet_.on_leaving(
            [&daemon_components](const std::string& runner) {
                daemon_components.peers_.gossip(
                    coordination::payload_kind::runner_leaving, runner, runner);
            });
        daemon_components.peers_.on_payload(
            coordination::payload_kind::runner_leaving,
            [&daemon_components](const coordination::gossip_payload& payload) {
                daemon_components.fleet_.mark_leaving(payload.bytes_);
            });
        daemon_components.peers_.on_members(
            [&daemon_components](const std::vector<std::string>& members) {
                daemon_components.log_.controller().on_members(members);
                daemon_components.claims_.set_members(members);
            });
        daemon_components.log_.on_replaced([&daemon_components] {
            daemon_components.fleet_.on_residents_changed();
            daemon_components.api_.rebuild_token_index();
            daemon_components.quarantine_link_.reload_marks();
        });
        daemon_components.log_.on_applied(
            [&daemon_components](const coordination::applied_record& read) {
                const auto& body = read.envelope_.body_;
                if (read.outcome_.valid() && changes_residents(body)) {
                    daemon_components.fleet_.on_residents_changed();
                }
                if (read.outcome_.valid() &&
                    (std::holds_alternative<state::resource_put>(body) ||
                     std::holds_alternative<state::resource_delete>(body))) {
                    daemon_components.api_.rebuild_token_index();
                }
            });
        caller_handler_.set(daemon_components.api_.handler());
        admin_handler_.set(daemon_components.admin_.handler());
        peer_handler_.set(
            [this](const std::string& from, const std::string& bytes) {
                // Best effort: the message is dropped if the queue is full.
                static_cast<void>(
                    process_resources_.control_.post([this, from, bytes] {
                        components_->peers_.on_message(from, bytes);
                    }));
            });
        auto& control = process_resources_.control_;
        control.every(tick_interval, [this] { tick(); });
        control.every(slow_interval, [this] { slow_tick(); });
        control.every(trace_interval, [&daemon_components] {
            daemon_components.traces_.flush();
        });
        control.start();
    }

    auto tick() -> void {
        auto& daemon_components = *components_;
        daemon_components.completions_.tick();
        daemon_components.services_.tick();
        daemon_components.poll_admission();
        daemon_components.claims_.tick();
    }

    auto slow_tick() -> void {
        auto& daemon_components = *components_;
        daemon_components.log_.tick();
        daemon_components.limits_.tick();
        daemon_components.quarantine_link_.tick();
        daemon_components.fleet_.tick();
        daemon_components.peers_.set_load(
            daemon_components.completions_.open() +
            daemon_components.services_.open());
        daemon_components.peers_.tick();
        daemon_components.demand_.tick();
        daemon_components.placement_.tick();
        advance_drain();
    }

    auto advance_drain() -> void {
        auto& daemon_components = *components_;
        const auto load = coordination::drain_load{
            .requests_in_progress_ = listeners_.callers_->open_exchanges(),
            .owns_shards_ = !daemon_components.log_.controller().released() ||
                            !daemon_components.claims_.idle()};
        for (const auto action : daemon_components.drain_.tick(
                 load, process_resources_.clock_.now())) {
            process_resources_.log_.info(
                "shutdown step",
                {{"action", coordination::drain_action_names.name_of(action)}});
            execute_drain_action(action);
        }
    }

    auto execute_drain_action(coordination::drain_action action) -> void {
        auto& daemon_components = *components_;
        switch (action) {
        case coordination::drain_action::withdraw:
            daemon_components.peers_.leave();
            break;
        case coordination::drain_action::hand_over:
            daemon_components.log_.controller().stop();
            daemon_components.claims_.release_all();
            break;
        case coordination::drain_action::stop_accepting:
            daemon_components.api_.stop_accepting();
            break;
        case coordination::drain_action::end:
            on_shutdown_complete_();
            break;
        }
    }

    process_resources process_resources_;
    std::function<void()> on_shutdown_complete_;
    deferred_http_handler caller_handler_;
    deferred_http_handler admin_handler_;
    deferred_peer_handler peer_handler_;
    std::string peer_address_;
    std::unique_ptr<components> components_;
    listeners listeners_;
};

} // namespace

auto program::start(const daemon_settings& settings,
                    std::function<void()> on_shutdown_complete)
    -> result<std::unique_ptr<program>> {
    auto instance = std::make_unique<daemon_program>(
        settings, std::move(on_shutdown_complete));
    if (auto opened = instance->open(); !opened) {
        return tl::unexpected(opened.error());
    }
    return instance;
}

} // namespace basilstream::daemon
