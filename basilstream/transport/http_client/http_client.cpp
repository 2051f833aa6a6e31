#include "basilstream/transport/http_client/http_client.hpp"

#include <algorithm>
#include <atomic>
#include <cctype>
#include <future>
#include <unordered_map>

#include <ace/Event_Handler.h>
#include <ace/Reactor.h>
#include <curl/curl.h>

#include "basilstream/transport/head_syntax/head_syntax.hpp"
#include "basilstream/transport/reactor/reactor.hpp"
#include "basilstream/transport/tcp_stream/tcp_stream.hpp"

namespace basilstream::transport {
namespace {

// Work items that one open call can have waiting: start, cancel, resume and
// one to spare. A ring of this size per call never fills.
constexpr auto items_per_call = std::size_t{4};

auto initialise_curl() -> void {
    static const auto once = curl_global_init(CURL_GLOBAL_DEFAULT);
    static_cast<void>(once);
}

auto lower(std::string_view text) -> std::string {
    auto lowered = std::string{text};
    std::transform(lowered.begin(), lowered.end(), lowered.begin(),
                   [](unsigned char letter) { return std::tolower(letter); });
    return lowered;
}

auto trim(std::string_view text) -> std::string_view {
    const auto first = text.find_first_not_of(" \t\r\n");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
}

auto host_of(const std::string& url) -> std::string {
    const auto begin = url.find("://");
    const auto from = begin == std::string::npos ? 0 : begin + 3;
    return url.substr(from, url.find('/', from) - from);
}

// One call in progress, on the client's thread only.
struct transfer {
    call_id id_ = 0;
    http_call call_;
    std::shared_ptr<http_sink> sink_;
    CURL* easy_ = nullptr;
    curl_slist* header_list_ = nullptr;
    int status_ = 0;
    answer_head_checker head_checker_;
    bool head_malformed_ = false;
    bool response_reported_ = false;
    std::map<std::string, std::string> headers_;

    transfer() = default;
    transfer(const transfer&) = delete;
    auto operator=(const transfer&) -> transfer& = delete;
    ~transfer() {
        if (easy_ != nullptr) {
            curl_easy_cleanup(easy_);
        }
        curl_slist_free_all(header_list_);
    }

    auto report_response() -> void {
        if (response_reported_) {
            return;
        }
        response_reported_ = true;
        auto status = 0L;
        curl_easy_getinfo(easy_, CURLINFO_RESPONSE_CODE, &status);
        status_ = static_cast<int>(status);
        sink_->on_response(status_, headers_);
    }
};

// Called with each line of the heads, with its line end, and of the trailer.
auto on_header(char* data, std::size_t size, std::size_t count, void* context)
    -> std::size_t {
    constexpr auto end_call = std::size_t{0};
    auto& open = *static_cast<transfer*>(context);
    const auto line = std::string_view{data, size * count};
    const auto is_own_field = open.head_checker_.reads_own_fields();
    if (!open.head_checker_.accept(line)) {
        open.head_malformed_ = true;
        return end_call;
    }
    const auto colon = line.find(':');
    if (colon != std::string_view::npos && is_own_field) {
        open.headers_[lower(line.substr(0, colon))] =
            trim(line.substr(colon + 1));
    }
    return line.size();
}

auto on_body(char* data, std::size_t size, std::size_t count, void* context)
    -> std::size_t {
    auto& open = *static_cast<transfer*>(context);
    open.report_response();
    if (!open.sink_->on_data(std::string_view{data, size * count})) {
        curl_easy_pause(open.easy_, CURLPAUSE_RECV);
    }
    return size * count;
}

auto prepare_socket(void* /*context*/, curl_socket_t socket,
                    curlsocktype /*purpose*/) -> int {
    share_local_port(socket);
    return CURL_SOCKOPT_OK;
}

auto refuse_socket(void* /*context*/, curlsocktype /*purpose*/,
                   curl_sockaddr* /*address*/) -> curl_socket_t {
    return CURL_SOCKET_BAD;
}

// Collects a whole answer.
class collecting_sink final : public http_sink {
public:
    collecting_sink(std::function<void(result<http_reply>)> done,
                    std::size_t limit, error too_large)
        : done_{std::move(done)}, limit_{limit}, too_large_{
                                                     std::move(too_large)} {}

    auto on_response(int status,
                     const std::map<std::string, std::string>& headers)
        -> void override {
        reply_.status_ = status;
        reply_.headers_ = headers;
    }

    auto on_data(std::string_view data) -> bool override {
        overflow_ = overflow_ || reply_.body_.size() + data.size() > limit_;
        if (!overflow_) {
            reply_.body_.append(data);
        }
        return true;
    }

    auto on_end(const call_end& end) -> void override {
        if (end.error_) {
            done_(tl::unexpected(*end.error_));
        } else if (overflow_) {
            done_(tl::unexpected(too_large_));
        } else {
            done_(std::move(reply_));
        }
    }

private:
    std::function<void(result<http_reply>)> done_;
    std::size_t limit_;
    error too_large_;
    http_reply reply_;
    bool overflow_ = false;
};

} // namespace

class http_client::implementation final : public ACE_Event_Handler {
public:
    implementation(std::string name, std::size_t max_calls)
        : max_calls_{max_calls}, thread_{std::move(name),
                                         max_calls * items_per_call} {
        initialise_curl();
        multi_ = curl_multi_init();
        curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &on_socket);
        curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
        curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &on_timer);
        curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
        thread_.start();
    }

    ~implementation() override {
        stop();
        curl_multi_cleanup(multi_);
    }

    auto stop() -> void {
        if (!stopping_.exchange(true)) {
            thread_.post_wait([this] { cancel_all(); });
            thread_.stop();
        }
    }

    auto start(http_call call, std::shared_ptr<http_sink> sink) -> call_id {
        const auto id = next_id_.fetch_add(1);
        const auto refused = error{error_code::overloaded, call.step_,
                                   host_of(call.url_), "too many open calls"};
        const auto refuse = [&] {
            sink->on_end({refused});
            return id;
        };
        if (stopping_.load() || open_count_.fetch_add(1) >= max_calls_) {
            open_count_.fetch_sub(1);
            return refuse();
        }
        auto work = [this, id, call = std::move(call), sink]() mutable {
            begin(id, std::move(call), std::move(sink));
        };
        if (!thread_.post(std::move(work))) {
            open_count_.fetch_sub(1);
            return refuse();
        }
        return id;
    }

    auto cancel(call_id id) -> void {
        thread_.post_wait([this, id] {
            if (const auto found = open_.find(id); found != open_.end()) {
                end(id, make_error(*found->second, error_code::cancelled,
                                   "cancelled"));
            }
        });
    }

    auto resume(call_id id) -> void {
        thread_.post_wait([this, id] {
            if (const auto found = open_.find(id); found != open_.end()) {
                curl_easy_pause(found->second->easy_, CURLPAUSE_CONT);
                drive(CURL_SOCKET_TIMEOUT, 0);
            }
        });
    }

    auto handle_input(ACE_HANDLE handle) -> int override {
        drive(handle, CURL_CSELECT_IN);
        return 0;
    }

    auto handle_output(ACE_HANDLE handle) -> int override {
        drive(handle, CURL_CSELECT_OUT);
        return 0;
    }

    auto handle_timeout(const ACE_Time_Value& /*now*/, const void* /*argument*/)
        -> int override {
        timer_armed_ = false;
        drive(CURL_SOCKET_TIMEOUT, 0);
        return 0;
    }

private:
    static auto on_socket(CURL* /*easy*/, curl_socket_t socket, int what,
                          void* context, void* /*socket_context*/) -> int {
        static_cast<implementation*>(context)->watch(socket, what);
        return 0;
    }

    static auto on_timer(CURLM* /*multi*/, long timeout_ms, void* context)
        -> int {
        static_cast<implementation*>(context)->arm_timer(timeout_ms);
        return 0;
    }

    auto watch(curl_socket_t socket, int what) -> void {
        auto& reactor = thread_.reactor();
        constexpr auto all_masks = ACE_Event_Handler::READ_MASK |
                                   ACE_Event_Handler::WRITE_MASK |
                                   ACE_Event_Handler::DONT_CALL;
        const auto was_watched = watched_.count(socket) > 0;
        if (what == CURL_POLL_REMOVE) {
            if (was_watched) {
                reactor.remove_handler(socket, all_masks);
                watched_.erase(socket);
            }
            return;
        }
        auto mask = ACE_Reactor_Mask{0};
        if ((what & CURL_POLL_IN) != 0) {
            mask |= ACE_Event_Handler::READ_MASK;
        }
        if ((what & CURL_POLL_OUT) != 0) {
            mask |= ACE_Event_Handler::WRITE_MASK;
        }
        if (was_watched && watched_[socket] == mask) {
            return;
        }
        if (was_watched) {
            reactor.remove_handler(socket, all_masks);
        }
        reactor.register_handler(socket, this, mask);
        watched_[socket] = mask;
    }

    auto arm_timer(long timeout_ms) -> void {
        if (timer_armed_) {
            thread_.reactor().cancel_timer(this);
            timer_armed_ = false;
        }
        if (timeout_ms >= 0) {
            auto delay = ACE_Time_Value{};
            delay.msec(timeout_ms);
            thread_.reactor().schedule_timer(this, nullptr, delay);
            timer_armed_ = true;
        }
    }

    auto drive(curl_socket_t socket, int events) -> void {
        auto running = 0;
        curl_multi_socket_action(multi_, socket, events, &running);
        collect_finished();
    }

    auto begin(call_id id, http_call call, std::shared_ptr<http_sink> sink)
        -> void {
        auto open = std::make_unique<transfer>();
        open->id_ = id;
        open->call_ = std::move(call);
        open->sink_ = std::move(sink);
        open->easy_ = curl_easy_init();
        set_options(*open);
        open->sink_->on_start(id);
        auto* easy = open->easy_;
        open_.emplace(id, std::move(open));
        curl_multi_add_handle(multi_, easy);
    }

    static auto set_options(transfer& open) -> void {
        auto* easy = open.easy_;
        const auto& call = open.call_;
        curl_easy_setopt(easy, CURLOPT_URL, call.url_.c_str());
        curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
        curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
        curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                         static_cast<long>(call.connect_timeout_.count()));
        curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                         static_cast<long>(call.total_timeout_.count()));
        curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &on_body);
        curl_easy_setopt(easy, CURLOPT_WRITEDATA, &open);
        curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &on_header);
        curl_easy_setopt(easy, CURLOPT_HEADERDATA, &open);
        curl_easy_setopt(easy, CURLOPT_PRIVATE, &open);
        curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, &prepare_socket);
        if (call.fresh_connection_) {
            curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
            curl_easy_setopt(easy, CURLOPT_FORBID_REUSE,
                             call.keep_connection_ ? 0L : 1L);
        }
        if (call.reuse_only_) {
            curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, &refuse_socket);
            curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
        }
        for (const auto& [name, value] : call.headers_) {
            auto line = name;
            line.append(": ").append(value);
            open.header_list_ =
                curl_slist_append(open.header_list_, line.c_str());
        }
        open.header_list_ = curl_slist_append(open.header_list_, "Expect:");
        curl_easy_setopt(easy, CURLOPT_HTTPHEADER, open.header_list_);
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.method_.c_str());
        if (call.method_ == "HEAD") {
            curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
        }
        if (!call.body_.empty() || call.method_ == "POST") {
            curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call.body_.data());
            curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                             static_cast<curl_off_t>(call.body_.size()));
        }
    }

    auto collect_finished() -> void {
        auto left = 0;
        while (auto* message = curl_multi_info_read(multi_, &left)) {
            if (message->msg != CURLMSG_DONE) {
                continue;
            }
            const auto code = message->data.result;
            transfer* open = nullptr;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &open);
            if (code == CURLE_OK) {
                open->report_response();
                end(open->id_, std::nullopt);
            } else {
                end(open->id_, make_error(*open, code_of(code),
                                          open->head_malformed_
                                              ? "malformed head of an answer"
                                              : curl_easy_strerror(code)));
            }
        }
    }

    static auto code_of(CURLcode code) -> error_code {
        switch (code) {
        case CURLE_COULDNT_CONNECT:
            return error_code::unavailable;
        case CURLE_OPERATION_TIMEDOUT:
            return error_code::timeout;
        case CURLE_PARTIAL_FILE:
            return error_code::incomplete_answer;
        default:
            return error_code::backend_error;
        }
    }

    static auto make_error(const transfer& open, error_code code,
                           std::string detail) -> error {
        auto sent = 0L;
        curl_easy_getinfo(open.easy_, CURLINFO_REQUEST_SIZE, &sent);
        return {code, open.call_.step_, host_of(open.call_.url_),
                std::move(detail),
                sent == 0 ? run_status::not_run : run_status::unknown};
    }

    auto end(call_id id, std::optional<error> failure) -> void {
        auto found = open_.find(id);
        const auto open = std::move(found->second);
        open_.erase(found);
        open_count_.fetch_sub(1);
        curl_multi_remove_handle(multi_, open->easy_);
        open->sink_->on_end({std::move(failure)});
    }

    auto cancel_all() -> void {
        while (!open_.empty()) {
            const auto id = open_.begin()->first;
            end(id, make_error(*open_.begin()->second, error_code::cancelled,
                               "client stopped"));
        }
        arm_timer(-1);
    }

    std::size_t max_calls_;
    reactor_thread thread_;
    CURLM* multi_ = nullptr;
    std::atomic<call_id> next_id_{1};
    std::atomic<std::size_t> open_count_{0};
    std::atomic<bool> stopping_{false};
    std::unordered_map<call_id, std::unique_ptr<transfer>> open_;
    std::unordered_map<curl_socket_t, ACE_Reactor_Mask> watched_;
    bool timer_armed_ = false;
};

http_client::http_client(std::string name, std::size_t max_calls)
    : implementation_{
          std::make_unique<implementation>(std::move(name), max_calls)} {}

http_client::~http_client() = default;

auto http_client::stop() -> void {
    implementation_->stop();
}

auto http_client::start(http_call call, std::shared_ptr<http_sink> sink)
    -> call_id {
    return implementation_->start(std::move(call), std::move(sink));
}

auto http_client::fetch(http_call call,
                        std::function<void(result<http_reply>)> done)
    -> call_id {
    auto too_large =
        error{error_code::payload_too_large, call.step_, host_of(call.url_),
              "answer over the limit", run_status::unknown};
    const auto limit = call.max_reply_bytes_;
    return start(std::move(call),
                 std::make_shared<collecting_sink>(std::move(done), limit,
                                                   std::move(too_large)));
}

auto http_client::fetch_wait(http_call call) -> result<http_reply> {
    auto promise = std::promise<result<http_reply>>{};
    auto answer = promise.get_future();
    fetch(std::move(call), [&promise](result<http_reply> reply) {
        promise.set_value(std::move(reply));
    });
    return answer.get();
}

auto http_client::cancel(call_id call) -> void {
    implementation_->cancel(call);
}

auto http_client::resume(call_id call) -> void {
    implementation_->resume(call);
}

} // namespace basilstream::transport
