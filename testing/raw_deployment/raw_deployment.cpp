#include "testing/raw_deployment/raw_deployment.hpp"

#include <algorithm>
#include <filesystem>
#include <future>
#include <stdexcept>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include "basilstream/protocol/json/json.hpp"

namespace basilstream::testing {
namespace {

constexpr auto settling_time = milliseconds{5000};
constexpr auto health_path = "/health";

auto service_entry(int adapters) -> protocol::json {
    using protocol::json;
    auto service = json{{"name", "app"},
                        {"healthPath", health_path},
                        {"connectionLimit", 4000}};
    if (adapters > 0) {
        service["engine"] = json{{"slots", 32},
                                 {"kvCacheTokens", 100'000},
                                 {"weightsMb", 150},
                                 {"adapterSlots", 6},
                                 {"loadsPerS", 2.0},
                                 {"models",
                                  {{{"name", "m"},
                                    {"weightsMb", 100},
                                    {"loadTimeS", 1.0},
                                    {"adapters", adapters},
                                    {"adapterMb", 1}}}}};
    }
    return service;
}

auto config_text(const raw_deployment_options& options, int version,
                 milliseconds timeout) -> std::string {
    using protocol::json;
    auto entries = json::array();
    for (const auto& route : options.routes_) {
        entries.push_back({{"name", route.prefix_},
                           {"host", "x"},
                           {"pathPrefix", route.prefix_},
                           {"kind", route.kind_},
                           {"timeoutMs", timeout.count()},
                           {"targetLatencyMs", route.objective_.count()},
                           {"priority", 1},
                           {"service", "app"},
                           {"attempts", route.attempts_},
                           {"resumable", route.resumable_}});
    }
    return json{{"version", version},
                {"routes", entries},
                {"services", json::array({service_entry(options.adapters_)})},
                {"limits",
                 {{"headerBytes", 16384},
                  {"bodyBytes", options.body_bytes_},
                  {"headerTimeoutMs", options.header_timeout_.count()},
                  {"idleTimeoutMs", options.idle_timeout_.count()}}}}
        .dump();
}

auto port_of(const std::string& address) -> std::uint16_t {
    return static_cast<std::uint16_t>(
        std::stoi(address.substr(address.find(':') + 1)));
}

// Returns a socket that keeps a port, at which connections are refused.
auto hold_port(std::uint16_t port) -> int {
    const auto descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto reuse = 1;
    (void)::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &reuse,
                       sizeof reuse);
    auto local = sockaddr_in{};
    local.sin_family = AF_INET;
    local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    local.sin_port = htons(port);
    (void)::bind(descriptor, reinterpret_cast<const sockaddr*>(&local),
                 sizeof local);
    return descriptor;
}

auto connect_with_small_segments(std::uint16_t port) -> int {
    constexpr auto segment_bytes = 1448;
    const auto descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    (void)::setsockopt(descriptor, IPPROTO_TCP, TCP_MAXSEG, &segment_bytes,
                       sizeof segment_bytes);
    auto target = sockaddr_in{};
    target.sin_family = AF_INET;
    target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    target.sin_port = htons(port);
    (void)::connect(descriptor, reinterpret_cast<const sockaddr*>(&target),
                    sizeof target);
    return descriptor;
}

// A client's connection, which keeps itself until its answer has ended.
class raw_client final : public transport::tcp_observer,
                         public transport::response_sink {
public:
    raw_client(transport::reactor_thread& thread, const clock& time,
               raw_deployment::answer_handler done, milliseconds pause)
        : thread_{thread}, clock_{time}, done_{std::move(done)},
          sent_at_{time.now()}, pause_{pause} {}

    static auto send(transport::reactor_thread& thread, const clock& time,
                     const std::string& address, const std::string& bytes,
                     raw_deployment::answer_handler done, milliseconds pause)
        -> void {
        const auto client =
            std::make_shared<raw_client>(thread, time, std::move(done), pause);
        client->self_ = client;
        client->stream_ =
            transport::tcp_stream::connect(thread, address, *client);
        client->stream_->write(bytes);
    }

    auto on_data(std::string_view bytes) -> void override {
        const auto state = reader_.feed(bytes, *this);
        if (state != transport::read_state::incomplete) {
            end(state == transport::read_state::complete);
        }
    }
    auto on_closed(transport::close_reason reason) -> void override {
        end(reason == transport::close_reason::end_of_stream &&
            reader_.finish() == transport::read_state::complete);
    }
    auto on_head(transport::answer_head head) -> void override {
        answer_.status_ = head.status_;
        answer_.headers_ = std::move(head.headers_);
        if (pause_ > milliseconds{0}) {
            stream_->set_reading(false);
            thread_.after(pause_, [self = self_] {
                if (self->stream_) {
                    self->stream_->set_reading(true);
                }
            });
        }
    }
    auto on_body(std::string_view piece) -> void override {
        answer_.body_.append(piece);
    }

private:
    auto end(bool complete) -> void {
        const auto keep = std::exchange(self_, nullptr);
        stream_.reset();
        answer_.complete_ = complete;
        answer_.took_ = clock_.now() - sent_at_;
        done_(answer_);
    }

    transport::reactor_thread& thread_;
    const clock& clock_;
    raw_deployment::answer_handler done_;
    const time_point sent_at_;
    const milliseconds pause_;
    raw_answer answer_;
    transport::response_reader reader_;
    std::unique_ptr<transport::tcp_stream> stream_;
    std::shared_ptr<raw_client> self_;
};

} // namespace

raw_connection::raw_connection(transport::reactor_thread& thread,
                               int descriptor, handler on_request)
    : thread_{thread}, on_request_{std::move(on_request)}, reader_{{}},
      stream_{transport::tcp_stream::adopt(thread, descriptor, *this)} {}

auto raw_connection::write(std::string_view bytes) -> void {
    if (stream_) {
        stream_->write(bytes);
    }
}

auto raw_connection::close() -> void {
    stream_.reset();
}

auto raw_connection::reset() -> void {
    if (stream_) {
        stream_->reset();
        stream_.reset();
    }
}

auto raw_connection::pause_reading(milliseconds time) -> void {
    stream_->set_reading(false);
    thread_.after(time, [self = shared_from_this()] {
        if (self->stream_) {
            self->stream_->set_reading(true);
        }
    });
}

auto raw_connection::buffered() const -> std::size_t {
    return stream_ ? stream_->buffered() : 0;
}

auto raw_connection::on_data(std::string_view bytes) -> void {
    const auto self = shared_from_this();
    if (reader_.feed(bytes) != transport::read_state::complete) {
        return;
    }
    auto request = reader_.take();
    if (request.target_ == health_path) {
        write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        return;
    }
    on_request_(request, self);
}

auto raw_connection::on_closed(transport::close_reason /*reason*/) -> void {
    stream_.reset();
}

raw_server::raw_server(std::string id, transport::reactor_thread& thread,
                       stand_in_store& store, bool holds_model, int slots,
                       raw_connection::handler on_request)
    : id_{std::move(id)}, thread_{thread}, on_request_{std::move(on_request)},
      store_{store}, holds_model_{holds_model}, slots_{slots} {
    open();
}

raw_server::~raw_server() {
    for (const auto descriptor : held_ports_) {
        ::close(descriptor);
    }
}

auto raw_server::open() -> void {
    auto opened = transport::tcp_listener::open(
        thread_, "127.0.0.1:0", [this](int descriptor) {
            std::erase_if(connections_, [](const auto& connection) {
                return !connection->open();
            });
            connections_.push_back(std::make_shared<raw_connection>(
                thread_, descriptor, on_request_));
            if (read_delay_ > milliseconds{0}) {
                connections_.back()->pause_reading(read_delay_);
            }
        });
    if (!opened) {
        throw std::runtime_error{"a server cannot listen: " +
                                 opened.error().detail_};
    }
    listener_ = std::move(*opened);
}

auto raw_server::crash(bool reset) -> void {
    const auto port = port_of(listener_->address());
    listener_.reset();
    held_ports_.push_back(hold_port(port));
    for (const auto& connection : std::exchange(connections_, {})) {
        if (reset) {
            connection->reset();
        } else {
            connection->close();
        }
    }
}

auto raw_server::reopen(std::string id) -> void {
    id_ = std::move(id);
    open();
}

auto raw_server::announce(std::int64_t started_at) -> void {
    auto models = protocol::json::array();
    if (holds_model_) {
        models.push_back({{"name", "m"},
                          {"version", 1},
                          {"adapters", protocol::json::array()}});
    }
    store_.put("keyed.servers", id_,
               protocol::json{{"service", "app"},
                              {"address", address()},
                              {"zone", "a"},
                              {"version", "v1"},
                              {"slots", slots_},
                              {"state", "ready"},
                              {"models", models},
                              {"sequence", 0},
                              {"born", started_at}}
                   .dump());
}

auto raw_server::withdraw() -> void {
    store_.put("keyed.servers", id_, std::nullopt);
}

raw_deployment::raw_deployment(raw_deployment_options options)
    : options_{std::move(options)}, thread_{"world", 16'384}, store_{thread_,
                                                                     clock_},
      directory_{std::filesystem::temp_directory_path() /
                 ("raw_deployment." + std::to_string(::getpid()))} {
    std::filesystem::create_directories(directory_);
    store_.put("keyed.op", "config",
               config_text(options_, config_version_, options_.route_timeout_));
    if (options_.has_store_link_) {
        store_link_ = std::make_unique<fault_proxy>(thread_, store_.address());
    }
    daemons_.resize(options_.daemons_);
    links_.resize(options_.daemons_with_faults_);
    for (auto index = 0; index < options_.daemons_with_faults_; ++index) {
        store_views_.push_back(store_.add_view(
            [this, index](const std::string& topic, std::string value) {
                return topic == "keyed.servers" && !value.empty()
                           ? view_server(index, std::move(value))
                           : value;
            }));
    }
    for (auto index = 0; index < options_.daemons_; ++index) {
        start_daemon(index);
    }
}

raw_deployment::~raw_deployment() {
    thread_.stop();
    for (const auto descriptor : idle_clients_) {
        ::close(descriptor);
    }
    daemons_.clear();
    auto ignored = std::error_code{};
    std::filesystem::remove_all(directory_, ignored);
}

auto raw_deployment::add_server(raw_connection::handler on_request)
    -> raw_server& {
    servers_.push_back(std::make_unique<raw_server>(
        "s" + std::to_string(servers_.size()), thread_, store_,
        options_.adapters_ > 0, options_.announced_slots_,
        std::move(on_request)));
    servers_.back()->announce(1000);
    return *servers_.back();
}

auto raw_deployment::settle(std::function<void()> begin) -> void {
    // A port of a daemon may have been taken by another process meanwhile.
    thread_.after(settling_time / 2, [this] {
        for (auto index = 0; index < options_.daemons_; ++index) {
            if (daemons_[index]->ended()) {
                start_daemon(index);
            }
        }
    });
    thread_.after(settling_time, std::move(begin));
}

auto raw_deployment::play(duration length, std::function<void()> begin)
    -> void {
    auto ended = std::promise<void>{};
    settle(std::move(begin));
    thread_.after(settling_time +
                      std::chrono::duration_cast<milliseconds>(length),
                  [&] { ended.set_value(); });
    thread_.start();
    ended.get_future().wait();
    thread_.stop();
}

auto raw_deployment::play(const std::function<void()>& script) -> void {
    auto settled = std::promise<void>{};
    settle([&] { settled.set_value(); });
    thread_.start();
    settled.get_future().wait();
    script();
    thread_.stop();
}

auto raw_deployment::send(int daemon, const std::string& bytes,
                          answer_handler done, milliseconds pause) -> void {
    raw_client::send(thread_, clock_, daemons_[daemon]->caller_address(), bytes,
                     std::move(done), pause);
}

auto raw_deployment::send_and_read_nothing(int daemon, const std::string& bytes)
    -> void {
    const auto descriptor = connect_with_small_segments(
        port_of(daemons_[daemon]->caller_address()));
    idle_clients_.push_back(descriptor);
    (void)::send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
}

auto raw_deployment::view_server(int daemon, std::string value) -> std::string {
    auto entry = protocol::json::parse(value);
    const auto target = entry.at("address").get<std::string>();
    auto& link = links_[daemon][target];
    if (!link) {
        link = std::make_unique<fault_proxy>(thread_, target);
    }
    entry["address"] = link->address();
    return entry.dump();
}

auto raw_deployment::cut_links(int daemon, link_fault fault) -> void {
    for (const auto& [target, link] : links_[daemon]) {
        switch (fault) {
        case link_fault::hang:
            link->stop_accepting(true);
            link->set_mode(proxy_mode::silent);
            break;
        case link_fault::reset:
            link->stop_accepting(false);
            link->reset_all();
            break;
        case link_fault::refuse_new:
            link->stop_accepting(false);
            break;
        case link_fault::carry_nothing:
            link->set_mode(proxy_mode::silent);
            break;
        case link_fault::reset_requests:
            link->set_mode(proxy_mode::reset);
            break;
        }
    }
}

auto raw_deployment::heal_links(int daemon) -> void {
    for (const auto& [target, link] : links_[daemon]) {
        link->set_mode(proxy_mode::forward);
        link->resume_accepting();
    }
}

auto raw_deployment::connections_made(int daemon) const -> int {
    auto count = 0;
    for (const auto& [target, link] : links_[daemon]) {
        count += link->accepted();
    }
    return count;
}

auto raw_deployment::change_route_timeout(milliseconds timeout) -> void {
    store_.put("keyed.op", "config",
               config_text(options_, ++config_version_, timeout));
}

auto raw_deployment::add_route(raw_route route) -> void {
    options_.routes_.push_back(std::move(route));
    store_.put(
        "keyed.op", "config",
        config_text(options_, ++config_version_, options_.route_timeout_));
}

auto raw_deployment::restart_daemon(int index) -> void {
    daemons_[index].reset();
    start_daemon(index);
}

auto raw_deployment::peak_memory() const -> std::size_t {
    auto largest = std::size_t{0};
    for (const auto& process : daemons_) {
        largest = std::max(largest, process->peak_memory());
    }
    return largest;
}

auto raw_deployment::store_address(int index) const -> std::string {
    if (index < options_.daemons_with_faults_) {
        return store_views_[index];
    }
    return store_link_ ? store_link_->address() : store_.address();
}

auto raw_deployment::start_daemon(int index) -> void {
    daemons_[index] = std::make_unique<daemon_process>(
        daemon_options{.name_ = "d" + std::to_string(index),
                       .directory_ = directory_,
                       .store_address_ = store_address(index),
                       .ip_ = options_.daemon_ip_,
                       .grace_seconds_ = options_.grace_seconds_,
                       .retry_ratio_ = options_.retry_ratio_,
                       .retry_allowance_ = options_.retry_allowance_,
                       .picks_ports_ = !options_.has_known_addresses_,
                       .memory_mb_ = options_.memory_mb_});
}

} // namespace basilstream::testing
