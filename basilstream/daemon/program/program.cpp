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

// Posted work that may wait for the control thread.
constexpr auto control_ring = std::size_t{32'768};
constexpr auto platform_calls = std::size_t{4096};
constexpr auto order_calls = std::size_t{1024};
// How often decisions are advanced.
constexpr auto tick_interval = milliseconds{10};
constexpr auto slow_interval = milliseconds{50};
constexpr auto trace_interval = milliseconds{1000};

auto address_of(const std::string& address, std::uint16_t port) -> std::string {
    return address + ":" + std::to_string(port);
}

// Turns a failure to listen into one that names the settings' key.
auto name_key(error failure, const std::string& section) -> error {
    failure.step_ = step::settings;
    failure.detail_ = "key " + section + ".port, value " + failure.peer_ +
                      ": must be a free port of a local address (" +
                      failure.detail_ + ")";
    return failure;
}

// Whether a record may change what is in place on a runner.
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

// What must exist before the parts: clock, threads, clients and addresses.
struct foundation {
    explicit foundation(const daemon_settings& settings)
        : settings_{settings}, random_{entropy_seed()}, control_{"control",
                                                                 control_ring},
          engines_{"engine", settings.requests_.max_open_requests_ * 2},
          platform_{"platform", platform_calls}, orders_{"orders", order_calls},
          log_{settings.logging_, settings.name_} {}

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

// Handlers that are set once the parts exist; until then nobody is served.
template <class... Arguments>
class late_handler {
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

using late_http =
    late_handler<transport::http_request, transport::http_exchange_ptr>;
using late_peer = late_handler<std::string, std::string>;

auto guard(late_http& late) -> transport::http_handler {
    return [&late](transport::http_request request,
                   transport::http_exchange_ptr reply) {
        const auto held = reply;
        if (!late.call(std::move(request), std::move(reply))) {
            held->respond(http_status(error_code::not_ready),
                          {{"Retry-After", "1"}}, {});
        }
    };
}

class daemon_program final : public program {
public:
    daemon_program(const daemon_settings& settings, std::function<void()> ended)
        : foundation_{settings}, ended_{std::move(ended)} {}

    ~daemon_program() override {
        // Servers first, so that nothing new arrives; then the threads whose
        // work refers to the parts; the parts last.
        listeners_.callers_.reset();
        listeners_.admin_.reset();
        foundation_.control_.stop();
        foundation_.engines_.stop();
        foundation_.platform_.stop();
        foundation_.orders_.stop();
    }

    auto open() -> result<void> {
        const auto& settings = foundation_.settings_;
        auto callers = transport::http_server::open(
            {.address_ = settings.caller_.address_,
             .port_ = settings.caller_.port_,
             .threads_ = settings.caller_.threads_,
             .max_connections_ = settings.caller_.max_connections_,
             .max_body_bytes_ = settings.caller_.max_body_bytes_},
            guard(caller_handler_));
        if (!callers) {
            return tl::unexpected(name_key(callers.error(), "caller"));
        }
        auto operators =
            transport::http_server::open({.address_ = settings.admin_.address_,
                                          .port_ = settings.admin_.port_,
                                          .threads_ = 1,
                                          .max_connections_ = 64},
                                         guard(admin_handler_));
        if (!operators) {
            return tl::unexpected(name_key(operators.error(), "admin"));
        }
        auto link = transport::peer_link::open(
            {.address_ = settings.peer_.address_,
             .port_ = settings.peer_.port_},
            [this](std::string from, std::string bytes) {
                peer_handler_.call(std::move(from), std::move(bytes));
            });
        if (!link) {
            return tl::unexpected(name_key(link.error(), "peer"));
        }
        listeners_.callers_ = std::move(*callers);
        listeners_.admin_ = std::move(*operators);
        peer_address_ = (*link)->address();
        parts_ = std::make_unique<parts>(foundation_, std::move(*link),
                                         caller_address());
        connect();
        return {};
    }

    auto request_stop() -> void override {
        foundation_.control_.post_wait([this] {
            foundation_.log_.info("graceful shutdown requested");
            parts_->drain_.request_stop(foundation_.clock_.now());
        });
    }

    [[nodiscard]] auto caller_address() const -> std::string override {
        return address_of(foundation_.settings_.caller_.address_,
                          listeners_.callers_->port());
    }
    [[nodiscard]] auto admin_address() const -> std::string override {
        return address_of(foundation_.settings_.admin_.address_,
                          listeners_.admin_->port());
    }
    [[nodiscard]] auto peer_address() const -> std::string override {
        return peer_address_;
    }

private:
    // All parts, in the order of their dependencies.
    struct parts {
        parts(foundation& under, std::unique_ptr<transport::peer_link> link,
              std::string caller_address)
            : base_{under.base()}, settings_{under.settings_},
              incarnation_{settings_.name_ + "#" + make_id(under.random_)},
              traces_{{.zipkin_url_ = settings_.trace_.zipkin_url_,
                       .service_ = settings_.name_,
                       .sample_ = settings_.trace_.sample_},
                      under.platform_,
                      under.random_.next()},
              measured_{registry_, traces_}, router_{{.zone_ = settings_.zone_},
                                                     under.random_},
              admission_{
                  {.queue_capacity_ = settings_.requests_.queue_capacity_},
                  router_,
                  under.random_},
              retries_{{}, under.random_}, marks_{{}, settings_.name_},
              policy_{router_, admission_, retries_, marks_,
                      [this] {
                          poll_soon();
                      }},
              connection_{under.platform_, settings_.platform_.log_url_},
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
              marks_link_{base_, settings_, marks_, peers_, log_},
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
                               marks_link_.ask(run, std::move(answer));
                           },
                           measured_},
              services_{base_, settings_.requests_, policy_, claims_,
                        measured_},
              placement_{base_, settings_, log_, fleet_,
                         [this] {
                             return demand_.by_model();
                         }},
              api_{base_,
                   {settings_, log_, fleet_, peers_, completions_, services_,
                    measured_}},
              drain_{drain_options(settings_)}, admin_{base_,
                                                       {settings_, api_, log_,
                                                        fleet_, peers_,
                                                        completions_, services_,
                                                        claims_, placement_,
                                                        marks_, admission_,
                                                        drain_, measured_}} {
            measured_.on_served_ = [this](const std::string& model,
                                          std::uint64_t tokens) {
                demand_.add(model, tokens);
            };
        }

        // Collapses the polls of one turn into one.
        auto poll_soon() -> void {
            if (std::exchange(poll_pending_, true)) {
                return;
            }
            const auto posted =
                base_.control_.post([this] { poll_admission(); });
            poll_pending_ = posted;
        }

        // Daemons own shards under the name of one start of the process.
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
                if (services_.knows(event.request_id_)) {
                    services_.act_on(event);
                } else {
                    completions_.act_on(std::move(event));
                }
            }
        }

        context base_;
        daemon_settings& settings_;
        std::string incarnation_;
        transport::metrics_registry registry_;
        transport::tracer traces_;
        telemetry measured_;
        coordination::router router_;
        coordination::admission admission_;
        coordination::retry_policy retries_;
        coordination::quarantine marks_;
        traffic_policy policy_;
        transport::log_connection connection_;
        limit_log limits_;
        control_log log_;
        cluster peers_;
        quarantine_link marks_link_;
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
        auto& all = *parts_;
        all.fleet_.on_entries(
            [&all](const auto& entries) { all.peers_.take_listed(entries); });
        all.fleet_.on_leaving([&all](const std::string& runner) {
            all.peers_.gossip(coordination::payload_kind::runner_leaving,
                              runner, runner);
        });
        all.peers_.on_payload(
            coordination::payload_kind::runner_leaving,
            [&all](const coordination::gossip_payload& payload) {
                all.fleet_.mark_leaving(payload.bytes_);
            });
        all.peers_.on_members([&all](const std::vector<std::string>& members) {
            all.log_.controller().on_members(members);
            all.claims_.set_members(members);
        });
        all.log_.on_replaced([&all] {
            all.fleet_.on_ledger_changed();
            all.api_.rebuild_token_index();
            all.marks_link_.reload_marks();
        });
        all.log_.on_applied([&all](const coordination::applied_record& read) {
            const auto& body = read.envelope_.body_;
            if (read.outcome_.valid() && changes_residents(body)) {
                all.fleet_.on_ledger_changed();
            }
            if (read.outcome_.valid() &&
                (std::holds_alternative<state::resource_put>(body) ||
                 std::holds_alternative<state::resource_delete>(body))) {
                all.api_.rebuild_token_index();
            }
        });
        caller_handler_.set(all.api_.handler());
        admin_handler_.set(all.admin_.handler());
        peer_handler_.set([this](const std::string& from,
                                 const std::string& bytes) {
            // Best effort: a full ring drops the message like the network.
            static_cast<void>(foundation_.control_.post([this, from, bytes] {
                parts_->peers_.on_message(from, bytes);
            }));
        });
        auto& control = foundation_.control_;
        control.every(tick_interval, [this] { tick(); });
        control.every(slow_interval, [this] { slow_tick(); });
        control.every(trace_interval, [&all] { all.traces_.flush(); });
        control.start();
    }

    auto tick() -> void {
        auto& all = *parts_;
        all.completions_.tick();
        all.services_.tick();
        all.poll_admission();
        all.claims_.tick();
    }

    auto slow_tick() -> void {
        auto& all = *parts_;
        all.log_.tick();
        all.limits_.tick();
        all.marks_link_.tick();
        all.fleet_.tick();
        all.peers_.set_load(all.completions_.open() + all.services_.open());
        all.peers_.tick();
        all.demand_.tick();
        all.placement_.tick();
        advance_drain();
    }

    auto advance_drain() -> void {
        auto& all = *parts_;
        const auto load = coordination::drain_load{
            .requests_in_progress_ = listeners_.callers_->open_exchanges(),
            .owns_shards_ =
                !all.log_.controller().released() || !all.claims_.idle()};
        for (const auto action :
             all.drain_.tick(load, foundation_.clock_.now())) {
            foundation_.log_.info(
                "shutdown step",
                {{"action", coordination::drain_action_names.name_of(action)}});
            carry_out(action);
        }
    }

    auto carry_out(coordination::drain_action action) -> void {
        auto& all = *parts_;
        switch (action) {
        case coordination::drain_action::withdraw:
            all.peers_.leave();
            break;
        case coordination::drain_action::hand_over:
            all.log_.controller().stop();
            all.claims_.release_all();
            break;
        case coordination::drain_action::stop_accepting:
            all.api_.stop_accepting();
            break;
        case coordination::drain_action::end:
            ended_();
            break;
        }
    }

    foundation foundation_;
    std::function<void()> ended_;
    late_http caller_handler_;
    late_http admin_handler_;
    late_peer peer_handler_;
    std::string peer_address_;
    std::unique_ptr<parts> parts_;
    listeners listeners_;
};

} // namespace

auto program::start(const daemon_settings& settings,
                    std::function<void()> ended)
    -> result<std::unique_ptr<program>> {
    auto made = std::make_unique<daemon_program>(settings, std::move(ended));
    if (auto opened = made->open(); !opened) {
        return tl::unexpected(opened.error());
    }
    return made;
}

} // namespace basilstream::daemon
