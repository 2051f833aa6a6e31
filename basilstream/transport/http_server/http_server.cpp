#include "basilstream/transport/http_server/http_server.hpp"

#include <algorithm>
#include <atomic>
#include <cctype>
#include <condition_variable>
#include <cstdlib>
#include <cstring>
#include <mutex>
#include <thread>
#include <unordered_set>
#include <utility>

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <unistd.h>

#include "basilstream/transport/http_server/internal/exchange.hpp"

namespace basilstream::transport {
namespace {

using internal::exchange;

// Body bytes beyond the limit that are read and dropped, so that the client
// sees the 413 instead of a reset.
constexpr auto drop_factor = std::size_t{4};

auto lower(std::string_view text) -> std::string {
    auto lowered = std::string{text};
    std::transform(lowered.begin(), lowered.end(), lowered.begin(),
                   [](unsigned char letter) { return std::tolower(letter); });
    return lowered;
}

auto peer_of(MHD_Connection* connection) -> std::string {
    const auto* info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
    if (info == nullptr || info->client_addr->sa_family != AF_INET) {
        return {};
    }
    auto address = sockaddr_in{};
    std::memcpy(&address, info->client_addr, sizeof address);
    auto text = std::string(INET_ADDRSTRLEN, '\0');
    ::inet_ntop(AF_INET, &address.sin_addr, text.data(), INET_ADDRSTRLEN);
    text.resize(std::strlen(text.c_str()));
    return text + ":" + std::to_string(ntohs(address.sin_port));
}

auto collect(void* target, MHD_ValueKind kind, const char* key,
             const char* value) -> MHD_Result {
    auto& request = *static_cast<http_request*>(target);
    const auto* text = value != nullptr ? value : "";
    if (kind == MHD_HEADER_KIND) {
        request.headers_[lower(key)] = text;
    } else {
        request.query_[key] = text;
    }
    return MHD_YES;
}

// What libmicrohttpd keeps for one connection between callbacks.
struct connection_state {
    http_request request_;
    std::size_t received_ = 0;
    time_point began_{};
    std::shared_ptr<exchange> exchange_;
};

class microhttpd_server final : public http_server {
public:
    microhttpd_server(const http_server_options& options, http_handler handler)
        : options_{options}, handler_{std::move(handler)} {}

    ~microhttpd_server() override {
        if (daemon_ == nullptr) {
            return;
        }
        {
            const auto lock = std::lock_guard{mutex_};
            stopping_ = true;
        }
        stopped_.notify_all();
        checker_.join();
        stop_listening();
        for (const auto& open : open_list()) {
            open->shut_down();
        }
        MHD_stop_daemon(daemon_);
    }

    auto listen() -> result<void> {
        auto address = sockaddr_in{};
        address.sin_family = AF_INET;
        address.sin_port = htons(options_.port_);
        if (::inet_pton(AF_INET, options_.address_.c_str(),
                        &address.sin_addr) != 1) {
            return tl::unexpected(error{error_code::invalid_argument,
                                        step::settings, options_.address_,
                                        "not an IPv4 address"});
        }
        daemon_ = MHD_start_daemon(
            MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME |
                MHD_USE_ITC,
            options_.port_, nullptr, nullptr, &access, this,
            MHD_OPTION_SOCK_ADDR, reinterpret_cast<sockaddr*>(&address),
            MHD_OPTION_THREAD_POOL_SIZE, options_.threads_,
            MHD_OPTION_CONNECTION_LIMIT, options_.max_connections_,
            MHD_OPTION_CONNECTION_MEMORY_LIMIT, options_.max_header_bytes_,
            MHD_OPTION_CONNECTION_TIMEOUT,
            static_cast<unsigned>(options_.idle_timeout_.count()),
            MHD_OPTION_NOTIFY_COMPLETED, &completed, this,
            MHD_OPTION_LISTEN_BACKLOG_SIZE, 1024U, MHD_OPTION_END);
        if (daemon_ == nullptr) {
            return tl::unexpected(
                error{error_code::unavailable, step::settings,
                      options_.address_ + ":" + std::to_string(options_.port_),
                      "cannot listen: address taken or not local"});
        }
        checker_ = std::thread{[this] {
            check_clients();
        }};
        return {};
    }

    [[nodiscard]] auto port() const -> std::uint16_t override {
        const auto* info =
            MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_BIND_PORT);
        return info == nullptr ? options_.port_ : info->port;
    }

    [[nodiscard]] auto open_exchanges() const -> std::size_t override {
        const auto lock = std::lock_guard{mutex_};
        return open_.size();
    }

    auto stop_listening() -> void override {
        if (!quiesced_.exchange(true)) {
            const auto socket = MHD_quiesce_daemon(daemon_);
            if (socket != MHD_INVALID_SOCKET) {
                ::close(socket);
            }
        }
    }

private:
    static auto access(void* context, MHD_Connection* connection,
                       const char* url, const char* method,
                       const char* /*version*/, const char* data,
                       std::size_t* size, void** slot) -> MHD_Result {
        auto& server = *static_cast<microhttpd_server*>(context);
        if (*slot == nullptr) {
            return server.begin(connection, url, method, slot);
        }
        auto& state = *static_cast<connection_state*>(*slot);
        if (state.exchange_) {
            return state.exchange_->queue_answer();
        }
        if (*size > 0) {
            return server.receive(state, data, size);
        }
        return server.dispatch(state, connection);
    }

    static auto completed(void* context, MHD_Connection* /*connection*/,
                          void** slot, MHD_RequestTerminationCode /*code*/)
        -> void {
        auto& server = *static_cast<microhttpd_server*>(context);
        auto* state = static_cast<connection_state*>(*slot);
        if (state == nullptr) {
            return;
        }
        if (state->exchange_) {
            state->exchange_->complete();
            const auto lock = std::lock_guard{server.mutex_};
            server.open_.erase(state->exchange_);
        }
        delete state;
        *slot = nullptr;
    }

    auto begin(MHD_Connection* connection, const char* url, const char* method,
               void** slot) -> MHD_Result {
        auto state = std::make_unique<connection_state>();
        state->request_.method_ = method;
        state->request_.path_ = url;
        state->request_.peer_ = peer_of(connection);
        state->began_ = clock_.now();
        MHD_get_connection_values(connection, MHD_HEADER_KIND, &collect,
                                  &state->request_);
        MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &collect,
                                  &state->request_);
        const auto length = state->request_.header("content-length");
        const auto too_large =
            std::strtoull(std::string{length}.c_str(), nullptr, 10) >
            options_.max_body_bytes_ * drop_factor;
        *slot = state.release();
        return too_large ? refuse_large(connection) : MHD_YES;
    }

    auto receive(connection_state& state, const char* data, std::size_t* size)
        -> MHD_Result {
        state.received_ += *size;
        if (state.received_ > options_.max_body_bytes_ * drop_factor ||
            clock_.now() - state.began_ > options_.body_timeout_) {
            return MHD_NO;
        }
        if (state.received_ <= options_.max_body_bytes_) {
            state.request_.body_.append(data, *size);
        } else {
            state.request_.body_ = {};
        }
        *size = 0;
        return MHD_YES;
    }

    auto dispatch(connection_state& state, MHD_Connection* connection)
        -> MHD_Result {
        if (state.received_ > options_.max_body_bytes_) {
            return refuse_large(connection);
        }
        state.exchange_ = std::make_shared<exchange>(
            connection, options_.stream_buffer_bytes_);
        {
            const auto lock = std::lock_guard{mutex_};
            open_.insert(state.exchange_);
        }
        // Suspended before the handler runs, so that an answer from another
        // thread always finds a connection to resume.
        state.exchange_->await_answer();
        handler_(std::move(state.request_), state.exchange_);
        return MHD_YES;
    }

    static auto refuse_large(MHD_Connection* connection) -> MHD_Result {
        auto body = std::string{
            R"({"error":{"code":"payload_too_large","run":"not_run",)"
            R"("step":"caller","peer":"","request_id":"",)"
            R"("message":"request body over the limit"}})"};
        auto* response = MHD_create_response_from_buffer(
            body.size(), body.data(), MHD_RESPMEM_MUST_COPY);
        MHD_add_response_header(response, "Content-Type", "application/json");
        const auto queued = MHD_queue_response(
            connection, MHD_HTTP_CONTENT_TOO_LARGE, response);
        MHD_destroy_response(response);
        return queued;
    }

    auto open_list() const -> std::vector<std::shared_ptr<exchange>> {
        const auto lock = std::lock_guard{mutex_};
        return {open_.begin(), open_.end()};
    }

    // libmicrohttpd does not watch a suspended connection, so a client that
    // leaves while its request waits is found here.
    auto check_clients() -> void {
        auto lock = std::unique_lock{mutex_};
        while (!stopped_.wait_for(lock, options_.disconnect_check_,
                                  [this] { return stopping_; })) {
            auto open = std::vector<std::shared_ptr<exchange>>(open_.begin(),
                                                               open_.end());
            lock.unlock();
            for (const auto& waiting : open) {
                waiting->check_client();
            }
            open.clear();
            lock.lock();
        }
    }

    http_server_options options_;
    http_handler handler_;
    steady_clock clock_;
    MHD_Daemon* daemon_ = nullptr;
    std::atomic<bool> quiesced_{false};
    mutable std::mutex mutex_;
    std::condition_variable stopped_;
    bool stopping_ = false;
    std::unordered_set<std::shared_ptr<exchange>> open_;
    std::thread checker_;
};

} // namespace

auto http_request::header(const std::string& name) const -> std::string_view {
    const auto found = headers_.find(name);
    return found == headers_.end() ? std::string_view{} : found->second;
}

auto http_request::query(const std::string& name) const -> std::string_view {
    const auto found = query_.find(name);
    return found == query_.end() ? std::string_view{} : found->second;
}

auto http_server::open(const http_server_options& options, http_handler handler)
    -> result<std::unique_ptr<http_server>> {
    auto server =
        std::make_unique<microhttpd_server>(options, std::move(handler));
    if (auto listening = server->listen(); !listening) {
        return tl::unexpected(listening.error());
    }
    return server;
}

} // namespace basilstream::transport
