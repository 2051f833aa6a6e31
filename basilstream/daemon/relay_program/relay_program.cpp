#include "basilstream/daemon/relay_program/relay_program.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <utility>

#include "basilstream/coordination/discovery/discovery.hpp"
#include "basilstream/daemon/cluster/cluster.hpp"
#include "basilstream/daemon/counted_store/counted_store.hpp"
#include "basilstream/daemon/listeners/listeners.hpp"
#include "basilstream/daemon/load_sharing/load_sharing.hpp"
#include "basilstream/daemon/model_control/model_control.hpp"
#include "basilstream/daemon/prompt_sharing/prompt_sharing.hpp"
#include "basilstream/daemon/quarantine_gossip/quarantine_gossip.hpp"
#include "basilstream/daemon/quarantine_log/quarantine_log.hpp"
#include "basilstream/daemon/relay/relay.hpp"
#include "basilstream/daemon/relay_status/relay_status.hpp"
#include "basilstream/daemon/store_watch/store_watch.hpp"
#include "basilstream/daemon/version_log/version_log.hpp"
#include "basilstream/protocol/relay_codec/relay_codec.hpp"
#include "basilstream/transport/http_session/http_session.hpp"
#include "basilstream/transport/metrics/metrics.hpp"

namespace basilstream::daemon {
namespace {

// Maximum number of tasks queued for the traffic thread.
constexpr auto task_queue_capacity = std::size_t{16'384};
// Interval at which deadlines, time-outs and due store reads are checked.
constexpr auto sweep_interval = milliseconds{50};
constexpr auto cluster_tick_interval = milliseconds{100};
// Maximum number of addresses that clients accept in an endpoint response.
constexpr auto max_endpoints = std::size_t{64};
// For this long after joining, a daemon answers endpoint requests with 503: it
// knows few other daemons yet and would direct all clients to itself.
constexpr auto join_settling_time = milliseconds{1500};
// Requests for readiness, endpoints and metrics have no body of note.
constexpr auto max_control_body_bytes = std::size_t{16} * 1024;
constexpr auto join_retry_delay = milliseconds{1000};
// Interval at which the list of daemons is read from the store again, to find
// daemons that membership probes have lost.
constexpr auto daemon_list_interval = seconds{10};
// The same interval for followers, which get store records from another daemon
// of their group. That daemon finds lost members, and gossip spreads them.
constexpr auto follower_list_interval = seconds{30};
// Maximum total size of the copies of one page of records, compressed, that a
// daemon sends to its followers: 200 ms on a 10 Mbit/s link.
constexpr auto max_forwarded_bytes = std::size_t{250'000};
// A daemon that has been silent for longer is left out of endpoint responses.
constexpr auto max_peer_silence = milliseconds{2000};
// A process that has just started lets connections wait for so many sweeps
// until it knows configuration and servers: a refusal would cost each caller
// one of few tries, and the store mostly answers at once. Counted in sweeps, as
// a process that is held up does not read the store either.
constexpr auto max_sweeps_before_accepting = 5;
// Lines that say why the daemon is not ready come at this interval.
constexpr auto not_ready_interval = seconds{5};
// The daemon stops this long before the end of the grace period, after which
// the process would be killed.
constexpr auto grace_margin = milliseconds{400};
// Bound of the random number that distinguishes the runs of a daemon in its
// reports of spending.
constexpr auto max_allowance_run = std::uint64_t{1} << 32U;
constexpr auto final_flush_time = milliseconds{100};
// A draining daemon refuses new requests once cached endpoint responses have
// expired and this margin has passed.
constexpr auto drain_margin = milliseconds{600};
// Time that a read of the list of servers may take beyond its schedule.
constexpr auto server_list_read_margin = milliseconds{500};

auto drain_settings_of(const relay_daemon_settings& settings)
    -> coordination::drain_settings {
    return {.time_to_live_ = settings.endpoint_time_to_live_,
            .margin_ = drain_margin,
            .hand_over_timeout_ = seconds{0}};
}

class running_relay final : public relay_program,
                            public store_observer,
                            public model_observer,
                            public model_provisioner {
public:
    running_relay(const relay_daemon_settings& settings,
                  const installation& deployment,
                  std::function<void()> on_stopped)
        : settings_{settings}, deployment_{deployment},
          on_stopped_{std::move(on_stopped)}, log_{settings.logging_,
                                                   settings.name_},
          thread_{"traffic", task_queue_capacity}, permits_{{clock_, log_,
                                                             metrics_},
                                                            settings.name_},
          streams_{{clock_, metrics_}, settings.name_}, notices_{{clock_, log_,
                                                                  metrics_}},
          forwarding_{{clock_, random_, log_, metrics_}, settings.name_},
          allowances_{
              boot_clock_, settings.name_,
              static_cast<std::uint32_t>(random_.below(max_allowance_run)),
              allowance_settings_of(settings)},
          context_{clock_,   random_,  thread_,  log_,        metrics_,
                   permits_, streams_, notices_, forwarding_, allowances_},
          relay_{context_, relay_settings_of(settings), deployment.dialect(),
                 *this},
          control_calls_{thread_, clock_},
          store_{std::make_unique<counted_store>(
              deployment.open_store(control_calls_, thread_,
                                    settings.store_address_),
              metrics_)},
          models_{
              {clock_, boot_clock_, random_, thread_, log_, permits_, notices_},
              model_settings_of(settings),
              deployment,
              *store_,
              relay_.backend_pool(),
              *this},
          sharing_{clock_,  settings.name_, relay_,
                   models_, permits_,       allowances_},
          quarantine_log_{{clock_, wall_clock_, random_, log_},
                          settings.name_,
                          relay_.crash_quarantine(),
                          relay_.prompt_quarantine(),
                          *store_},
          prompt_sharing_{{clock_, log_},
                          settings.name_,
                          relay_.prompt_quarantine(),
                          [this](const auto& message) {
                              quarantine_log_.publish(message);
                          }},
          version_log_{{clock_, random_, log_},
                       settings.name_,
                       streams_.versions(),
                       *store_},
          watch_{{clock_, random_, log_},
                 schedule_reads(settings.limits_.announcement_delay_,
                                settings.limits_.config_delay_),
                 *store_,
                 deployment.decoder(),
                 *this},
          drain_{drain_settings_of(settings)} {
        models_.use_speeds(relay_.speeds());
        permits_.set_daemons({settings.name_});
        streams_.set_view_check([this] { return knows_newest_servers(); });
    }

    ~running_relay() override {
        thread_.stop();
        // Their closures own requests, which refer to the relay.
        permits_.drop_pending();
        streams_.drop_pending();
    }

    auto open() -> result<void> {
        const auto openers = std::array{
            opener_entry{listener_kind::callers, &running_relay::open_callers},
            opener_entry{listener_kind::peers, &running_relay::open_link},
            opener_entry{listener_kind::forwarding,
                         &running_relay::open_forwarding},
            opener_entry{listener_kind::readiness,
                         &running_relay::open_readiness},
            opener_entry{listener_kind::directory,
                         &running_relay::open_directory},
            opener_entry{listener_kind::metrics, &running_relay::open_metrics}};
        for (const auto& entry : openers) {
            if (!is_wanted(entry.kind_)) {
                continue;
            }
            auto added =
                listeners_.add(entry.kind_, [this, open = entry.open_] {
                    return (this->*open)();
                });
            if (!added) {
                return added;
            }
        }
        status_.add_gauges(metrics_);
        thread_.every(sweep_interval, [this] { sweep(); });
        thread_.every(cluster_tick_interval, [this] { tick_cluster(); });
        report_start();
        // Reads of the store do not wait for the first sweep.
        thread_.after(milliseconds{0}, [this] { watch_.tick(); });
        thread_.start();
        return {};
    }

    auto request_stop() -> void override {
        thread_.post_wait([this] {
            log_.info("stop requested",
                      {{"in_progress", std::to_string(relay_.in_progress())}});
            if (drain_.stop_requests() == 0) {
                stop_requested_at_ = clock_.now();
            }
            drain_.request_stop(clock_.now());
            begin_accepting_if_due();
        });
    }

    auto reload(const relay_daemon_settings& settings) -> void override {
        thread_.post_wait([this, settings] {
            relay_.set_retry_limits(settings.limits_.retry_ratio_,
                                    settings.limits_.retry_allowance_,
                                    settings.limits_.retry_window_);
            relay_.set_least_cost(settings.least_cost_);
            log_.info("settings reloaded");
        });
    }

    [[nodiscard]] auto caller_address() const -> std::string override {
        return relay_.address();
    }

    [[nodiscard]] auto operator_address() const -> std::string override {
        return operator_address_;
    }
    [[nodiscard]] auto directory_address() const -> std::string override {
        return directory_address_;
    }

    auto on_config(std::shared_ptr<const coordination::relay_config> config)
        -> void override {
        models_.set_config(config);
        relay_.set_config(std::move(config));
        begin_accepting_if_due();
    }
    auto on_backend(const coordination::backend_server& server)
        -> void override {
        models_.set_backend(server);
    }
    auto on_backend_gone(const std::string& id) -> void override {
        models_.remove_backend(id);
        relay_.remove_backend(id);
    }
    auto on_quarantine_record(const coordination::store_record& record)
        -> void override {
        quarantine_log_.apply(record);
    }
    // Forwards a page read from the store to the followers in its group.
    auto on_read(coordination::shared_topic topic, std::uint64_t from,
                 const coordination::record_page& page) -> void override {
        const auto followers = sharing_.followers();
        if (followers.empty()) {
            return;
        }
        auto update = protocol::relay_update{};
        update.pages_ = {
            {topic, from, page.end_, page.records_, false, page.era_}};
        // Followers read a large page from the store: sending it would occupy
        // the link of a small VM for too long.
        if (protocol::encode(update).size() * followers.size() >
            max_forwarded_bytes) {
            update.pages_ = {{topic, from, from, {}, true}};
        }
        sharing_.send_to(followers, update);
    }
    auto on_residency_changed(const coordination::backend_server& server)
        -> void override {
        relay_.set_backend(server);
    }
    auto broadcast(const protocol::relay_update& update) -> void override {
        sharing_.send_to_all(update);
    }
    auto send_demand(const protocol::relay_update& update) -> void override {
        sharing_.send_to_owner(update);
    }

    // Forwards the model_provisioner calls of the relay to model_control, which
    // is constructed after the relay because it uses the relay's connections.
    auto on_request(const model_reference& want, std::int64_t tokens,
                    bool served, int urgency) -> void override {
        models_.on_request(want, tokens, served, urgency);
    }
    [[nodiscard]] auto expected_wait(const model_reference& want) const
        -> std::optional<milliseconds> override {
        return models_.expected_wait(want);
    }

private:
    static auto relay_settings_of(const relay_daemon_settings& settings)
        -> relay_settings {
        return {.name_ = settings.name_,
                .address_ = settings.caller_address_,
                .retry_ratio_ = settings.limits_.retry_ratio_,
                .retry_allowance_ = settings.limits_.retry_allowance_,
                .retry_window_ = settings.limits_.retry_window_,
                .retry_allowance_delay_ = settings.limits_.retry_window_,
                .speed_spread_ = settings.routing_.speed_spread_,
                .least_cost_ = settings.least_cost_,
                .memory_ =
                    coordination::memory_shares_of(settings.limits_.memory_mb_),
                .defers_accepting_ = true};
    }

    static auto allowance_settings_of(const relay_daemon_settings& settings)
        -> coordination::allowance_settings {
        return {settings.limits_.allowance_window_,
                1 + settings.limits_.allowance_overrun_,
                settings.limits_.allowance_slack_};
    }

    static auto model_settings_of(const relay_daemon_settings& settings)
        -> model_control_settings {
        auto control_settings = model_control_settings{};
        control_settings.holder_ = settings.name_;
        control_settings.lease_.pause_between_owners_ = settings.limits_.lease_;
        control_settings.load_window_ = settings.limits_.load_window_;
        control_settings.even_work_ = settings.least_cost_;
        return control_settings;
    }

    using request_method = void (running_relay::*)(
        const transport::request_message&, transport::http_session&);

    auto listen(const std::string& address, request_method method)
        -> result<std::unique_ptr<transport::http_session_server>> {
        return transport::http_session_server::open(
            thread_, clock_,
            {.address_ = address,
             .limits_ = {.body_bytes_ = max_control_body_bytes},
             .max_sessions_ =
                 transport::max_sessions_of(transport::client_kind::control)},
            [this, method](transport::request_message request,
                           transport::http_session& session) {
                (this->*method)(request, session);
            });
    }

    struct opener_entry {
        listener_kind kind_;
        result<std::string> (running_relay::*open_)();
    };

    [[nodiscard]] auto is_wanted(listener_kind kind) -> bool {
        if (kind == listener_kind::metrics) {
            return !settings_.metrics_address_.empty();
        }
        if (kind == listener_kind::forwarding && !has_forwarding_port()) {
            log_.warning("no listener for forwarded requests",
                         {{"detail", "the settings name one port for peers"}});
            return false;
        }
        return true;
    }

    auto open_callers() -> result<std::string> {
        if (auto opened = relay_.open(); !opened) {
            return tl::unexpected(opened.error());
        }
        return relay_.address();
    }

    // Opens the link to the other daemons on the first free one of its ports.
    auto open_link() -> result<std::string> {
        auto link = transport::peer_link::open(
            {.address_ = settings_.peer_ip_,
             .port_ = settings_.first_peer_port_,
             .last_port_ = settings_.last_peer_port_},
            [this](std::string from, std::string bytes) {
                // Messages are dropped if the thread's queue is full: the
                // modules that need delivery send them again.
                (void)thread_.post(
                    [this, from = std::move(from), bytes = std::move(bytes)] {
                        if (cluster_) {
                            cluster_->on_message(from, bytes);
                        }
                    });
            });
        if (!link) {
            return tl::unexpected(link.error());
        }
        link_address_ = (*link)->address();
        link_ = std::move(*link);
        return link_address_;
    }

    // Whether the settings name a port for other daemons beside that of the
    // link. Any other one may be another daemon's.
    [[nodiscard]] auto has_forwarding_port() const -> bool {
        return settings_.first_peer_port_ == 0 ||
               settings_.last_peer_port_ > settings_.first_peer_port_;
    }

    // Listens for forwarded requests on the last free port for other daemons;
    // on any if the settings leave the ports open.
    auto open_forwarding() -> result<std::string> {
        if (!link_ && !cluster_) {
            // The link goes first where few ports are free.
            return tl::unexpected(error{error_code::unavailable, step::peer,
                                        settings_.peer_ip_,
                                        "waits for the listener for peers"});
        }
        const auto last = int{settings_.last_peer_port_};
        const auto first = int{settings_.first_peer_port_};
        if (first == 0) {
            return open_forwarding_on(0);
        }
        auto opened = open_forwarding_on(last);
        for (auto port = last - 1; !opened && port >= first; --port) {
            opened = open_forwarding_on(port);
        }
        return opened;
    }

    auto open_forwarding_on(int port) -> result<std::string> {
        const auto address = settings_.peer_ip_ + ":" + std::to_string(port);
        return relay_.open_forwarding(address);
    }

    auto open_readiness() -> result<std::string> {
        return open_control(settings_.readiness_address_,
                            &running_relay::answer_readiness);
    }

    auto open_directory() -> result<std::string> {
        auto opened = open_control(settings_.directory_address_,
                                   &running_relay::answer_directory);
        directory_address_ = opened.value_or(settings_.directory_address_);
        return opened;
    }

    auto open_metrics() -> result<std::string> {
        auto opened = open_control(settings_.metrics_address_,
                                   &running_relay::answer_operator);
        operator_address_ = opened.value_or(settings_.metrics_address_);
        return opened;
    }

    auto open_control(const std::string& address, request_method method)
        -> result<std::string> {
        auto server = listen(address, method);
        if (!server) {
            return tl::unexpected(server.error());
        }
        servers_.push_back(std::move(*server));
        return servers_.back()->address();
    }

    // Accepts callers once their requests can be routed, and those that crash
    // servers are known, or after a while, so that they get an answer.
    auto begin_accepting_if_due() -> void {
        if (status_.ready() || stop_requested_at_ ||
            sweeps_before_accepting_ <= 0) {
            relay_.begin_accepting();
        }
    }

    auto report_start() -> void {
        if (!start_reported_ && listeners_.is_open(listener_kind::callers)) {
            start_reported_ = true;
            log_.info("started", {{"callers", relay_.address()},
                                  {"peers", link_address_},
                                  {"store", settings_.store_address_}});
        }
    }

    // Logs when the daemon is first ready, and until then why it is not.
    auto report_readiness() -> void {
        const auto now = clock_.now();
        if (ready_reported_ || stop_requested_at_) {
            return;
        }
        const auto waited = std::to_string(
            std::chrono::duration_cast<milliseconds>(now - created_at_)
                .count());
        const auto config = std::to_string(relay_.config_version());
        if (status_.ready()) {
            ready_reported_ = true;
            log_.info("ready",
                      {{"waited_ms", waited},
                       {"config", config},
                       {"servers",
                        std::to_string(watch_.backends().servers().size())}});
            return;
        }
        if (now < next_not_ready_line_) {
            return;
        }
        next_not_ready_line_ = now + not_ready_interval;
        const auto text = [](bool value) {
            return value ? "yes" : "no";
        };
        log_.warning(
            "not ready",
            {{"waited_ms", waited},
             {"config", config},
             {"servers_listed", text(watch_.has_listed_backends())},
             {"quarantine_read",
              text(watch_.last_read(coordination::shared_topic::quarantine)
                       .has_value())},
             {"listens_for_callers",
              text(listeners_.is_open(listener_kind::callers))}});
    }

    auto answer_readiness(const transport::request_message& request,
                          transport::http_session& session) -> void {
        const auto for_readiness = deployment_.is_readiness_request(request);
        session.respond(!for_readiness    ? 404
                        : status_.ready() ? 200
                                          : 503,
                        {}, "");
    }

    auto answer_directory(const transport::request_message& request,
                          transport::http_session& session) -> void {
        const auto zone = deployment_.read_endpoint_request(request);
        if (!zone) {
            session.respond(404, {}, "");
            return;
        }
        if (!has_settled()) {
            session.respond(503, {}, "");
            return;
        }
        const auto answer = cluster_->endpoints(*zone);
        if (!answer) {
            session.respond(503, {}, "");
            return;
        }
        auto headers = transport::header_list{};
        headers.add("Content-Type", "application/json");
        session.respond(200, headers, deployment_.endpoint_body(*answer));
    }

    // Serves metrics and the status requests of basilctl.
    auto answer_operator(const transport::request_message& request,
                         transport::http_session& session) -> void {
        const auto target = std::string_view{request.target_};
        constexpr auto explain_prefix = std::string_view{"/explain?name="};
        auto headers = transport::header_list{};
        if (target == "/status" || target.starts_with(explain_prefix)) {
            const auto answer =
                target == "/status"
                    ? status_.status()
                    : status_.explain(
                          std::string{target.substr(explain_prefix.size())});
            headers.add("Content-Type", "application/json");
            session.respond(
                200, headers,
                answer.dump(-1, ' ', false,
                            protocol::json::error_handler_t::replace));
            return;
        }
        headers.add("Content-Type", "text/plain; version=0.0.4");
        session.respond(200, headers, metrics_.prometheus_text());
    }

    // Daemons that can read the store follow its list of servers within half
    // of the time that an announcement may take.
    [[nodiscard]] auto knows_newest_servers() const -> bool {
        const auto bound =
            settings_.limits_.announcement_delay_ / 2 + server_list_read_margin;
        return servers_read_ && boot_clock_.now() - servers_read_at_ <= bound;
    }

    // Notes reads of the list of servers on a clock that counts suspension.
    auto note_server_list_reads() -> void {
        const auto read =
            watch_.last_read(coordination::shared_topic::backends);
        if (read != servers_read_) {
            servers_read_ = read;
            servers_read_at_ = boot_clock_.now() -
                               (clock_.now() - read.value_or(time_point{}));
        }
    }

    auto sweep() -> void {
        if (!stop_requested_at_) {
            // A daemon that stops leaves free addresses to its successor.
            listeners_.tick();
        }
        report_start();
        watch_.tick();
        if (listeners_.is_open(listener_kind::callers) &&
            sweeps_before_accepting_ > 0) {
            --sweeps_before_accepting_;
        }
        begin_accepting_if_due();
        report_readiness();
        note_server_list_reads();
        permits_.tick();
        streams_.tick();
        relay_.sweep();
        control_calls_.sweep();
        for (const auto& server : servers_) {
            server->sweep();
        }
        if (!cluster_ && link_ && status_.ready()) {
            join();
        }
        if (cluster_) {
            models_.tick();
            sharing_.tick();
            quarantine_gossip_->tick();
        }
        prompt_sharing_.tick();
        quarantine_log_.tick();
        version_log_.tick();
        advance_drain();
    }

    auto on_peer_update(const std::string& sender, const std::string& bytes)
        -> void {
        const auto update = protocol::decode_relay_update(bytes);
        if (!update) {
            log_.failure(transport::log_level::warning,
                         "invalid message from a daemon ignored",
                         update.error());
            return;
        }
        permits_.on_update(sender, *update);
        streams_.on_update(sender, *update);
        forwarding_.on_update(sender, *update);
        prompt_sharing_.on_update(sender, *update);
        sharing_.on_update(sender, *update);
        for (const auto& page : update->pages_) {
            if (page.read_now_) {
                watch_.on_update_notice(page.topic_);
            } else {
                watch_.on_relayed(page.topic_, page.from_,
                                  {page.records_, page.end_, false, page.era_});
            }
        }
        models_.on_update(*update);
    }

    // Joins the cluster and announces this daemon in the store. Called once,
    // when the daemon is ready to serve.
    auto join() -> void {
        cluster_.emplace(cluster_context{clock_, random_, log_},
                         cluster_settings{.name_ = settings_.name_,
                                          .zone_ = settings_.zone_,
                                          .endpoint_time_to_live_ =
                                              settings_.endpoint_time_to_live_,
                                          .max_endpoints_ = max_endpoints,
                                          .longest_silence_ = max_peer_silence},
                         relay_.address(), std::move(link_));
        sharing_.join(*cluster_);
        // This daemon does not know the others yet, so that it must not take
        // itself for the owner.
        permits_.set_daemons({});
        permits_.set_daemons({settings_.name_});
        const auto send = [this](const std::string& daemon,
                                 const protocol::relay_update& update) {
            return cluster_->send(daemon, protocol::peer_channel::relay,
                                  protocol::encode(update));
        };
        permits_.connect(send);
        streams_.connect(send);
        forwarding_.connect(send);
        prompt_sharing_.connect(send);
        quarantine_gossip_.emplace(
            log_, clock_, relay_.crash_quarantine(), *cluster_,
            [this](const coordination::quarantine_event& event) {
                quarantine_log_.publish(event);
            });
        cluster_->on_members([this](const std::vector<std::string>& owners) {
            relay_.crash_quarantine().set_members(owners, clock_.now());
            prompt_sharing_.set_daemons(owners);
            quarantine_log_.set_daemons(owners.size());
            watch_.set_daemons(owners.size());
            forwarding_.set_daemons(owners);
            allowances_.set_daemons(owners);
            relay_.set_daemons(std::max<std::size_t>(owners.size(), 1));
            models_.set_daemons(owners.size());
            if (drain_.stop_requests() == 0) {
                permits_.set_daemons(owners);
                streams_.set_daemons(owners);
            }
            update_version_writers();
        });
        cluster_->on_channel(
            protocol::peer_channel::relay,
            [this](const std::string& sender, const std::string& bytes) {
                on_peer_update(sender, bytes);
            });
        announce();
        read_daemon_list();
    }

    auto announce() -> void {
        store_->append(
            coordination::shared_topic::daemons, std::nullopt,
            {settings_.name_, link_address_},
            [this](const result<coordination::append_outcome>& outcome) {
                if (!outcome) {
                    log_.failure(transport::log_level::warning,
                                 "announcing this daemon failed",
                                 outcome.error());
                    thread_.after(join_retry_delay, [this] { announce(); });
                }
            });
    }

    auto read_daemon_list() -> void {
        store_->read_newest(
            coordination::shared_topic::daemons,
            [this](const result<coordination::record_page>& page) {
                handle_daemon_list(page);
            });
    }

    auto handle_daemon_list(const result<coordination::record_page>& page)
        -> void {
        daemons_listed_at_ = clock_.now();
        if (!page) {
            log_.failure(transport::log_level::warning,
                         "reading the list of daemons failed", page.error());
            thread_.after(join_retry_delay, [this] { read_daemon_list(); });
            return;
        }
        for (const auto& record : page->records_) {
            if (record.value_) {
                cluster_->add_seed(*record.value_);
            }
        }
        if (!joined_at_) {
            joined_at_ = clock_.now();
            // Also if no other daemon is ever found.
            thread_.after(join_settling_time + milliseconds{1},
                          [this] { update_version_writers(); });
        }
        schedule_daemon_list(daemon_list_interval);
    }

    auto schedule_daemon_list(milliseconds delay) -> void {
        thread_.after(delay, [this] {
            const auto age = clock_.now() - daemons_listed_at_;
            const auto reads_store_directly = cluster_->members().size() == 1 ||
                                              !sharing_.followers().empty();
            // Whether others read for this daemon is known only some time
            // after it has joined.
            if (reads_store_directly || age >= follower_list_interval) {
                read_daemon_list();
            } else {
                schedule_daemon_list(follower_list_interval -
                                     daemon_list_interval);
            }
        });
    }

    // Returns whether this daemon has had time to find the others.
    [[nodiscard]] auto has_settled() const -> bool {
        return joined_at_ && clock_.now() - *joined_at_ > join_settling_time;
    }

    auto update_version_writers() -> void {
        if (!has_settled()) {
            return;
        }
        auto names = std::vector<std::string>{};
        for (const auto& member : cluster_->members()) {
            names.push_back(member.name_);
        }
        version_log_.set_daemons(std::move(names));
    }

    auto tick_cluster() -> void {
        if (cluster_) {
            cluster_->set_load(relay_.in_progress());
            cluster_->tick();
        }
    }

    auto advance_drain() -> void {
        const auto now = clock_.now();
        const auto overdue =
            stop_requested_at_ &&
            now - *stop_requested_at_ > settings_.stop_.grace_ - grace_margin;
        if (overdue) {
            end();
            return;
        }
        const auto load = coordination::drain_load{
            relay_.in_progress() + relay_.undelivered() + relay_.receiving(),
            false};
        for (const auto action : drain_.tick(load, now)) {
            log_.info(
                "draining",
                {{"action", coordination::drain_action_names.name_of(action)}});
            apply_drain_action(action);
        }
    }

    auto apply_drain_action(coordination::drain_action action) -> void {
        switch (action) {
        case coordination::drain_action::withdraw:
            if (cluster_) {
                cluster_->leave();
            }
            models_.stop();
            relay_.begin_draining();
            break;
        case coordination::drain_action::hand_over:
            break;
        case coordination::drain_action::stop_accepting:
            relay_.stop_accepting();
            relay_.close_idle();
            break;
        case coordination::drain_action::end:
            end();
            break;
        }
    }

    auto end() -> void {
        if (!std::exchange(stop_notified_, true)) {
            relay_.end_all();
            log_.info("stopped",
                      {{"in_progress", std::to_string(relay_.in_progress())}});
            // Leaves time for the final responses to be sent.
            thread_.after(final_flush_time, [this] { on_stopped_(); });
        }
    }

    const relay_daemon_settings settings_;
    const installation& deployment_;
    std::function<void()> on_stopped_;
    steady_clock clock_;
    boot_clock boot_clock_;
    system_wall_clock wall_clock_;
    seeded_random random_{entropy_seed()};
    transport::logger log_;
    transport::metrics_registry metrics_;
    transport::reactor_thread thread_;
    server_permits permits_;
    stream_directory streams_;
    // When the list of servers was last read, on the two clocks.
    std::optional<time_point> servers_read_;
    time_point servers_read_at_{};
    server_notices notices_;
    peer_forwarding forwarding_;
    allowance_sharing allowances_;
    relay_context context_;
    relay relay_;
    // Connections to the store, separate from those for traffic.
    transport::http_pool control_calls_;
    std::unique_ptr<coordination::record_store> store_;
    model_control models_;
    load_sharing sharing_;
    quarantine_log quarantine_log_;
    prompt_sharing prompt_sharing_;
    version_log version_log_;
    store_watch watch_;
    coordination::drain_controller drain_;
    listeners listeners_{{clock_, log_, metrics_}};
    std::vector<std::unique_ptr<transport::http_session_server>> servers_;
    std::unique_ptr<transport::peer_link> link_;
    std::string link_address_;
    std::string operator_address_;
    std::string directory_address_;
    std::optional<cluster> cluster_;
    std::optional<quarantine_gossip> quarantine_gossip_;
    const time_point created_at_{clock_.now()};
    int sweeps_before_accepting_ = max_sweeps_before_accepting;
    bool start_reported_ = false;
    bool ready_reported_ = false;
    time_point next_not_ready_line_{created_at_ + not_ready_interval};
    std::optional<time_point> joined_at_;
    time_point daemons_listed_at_{};
    std::optional<time_point> stop_requested_at_;
    bool stop_notified_ = false;
    relay_status status_{settings_.name_,
                         settings_.zone_,
                         {clock_, log_, relay_, watch_, models_, drain_,
                          cluster_, allowances_, listeners_}};
};

} // namespace

auto relay_program::start(const relay_daemon_settings& settings,
                          const installation& deployment,
                          std::function<void()> on_stopped)
    -> result<std::unique_ptr<relay_program>> {
    auto program = std::make_unique<running_relay>(settings, deployment,
                                                   std::move(on_stopped));
    if (auto opened = program->open(); !opened) {
        return tl::unexpected(opened.error());
    }
    return program;
}

} // namespace basilstream::daemon
