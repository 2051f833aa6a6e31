#include "basilstream/transport/http_pool/http_pool.hpp"

#include <algorithm>
#include <charconv>
#include <functional>
#include <iterator>
#include <utility>

namespace basilstream::transport {
namespace {

// Requests with an id that one connection carries at most, which bounds the
// memory of their ids.
constexpr auto max_requests = std::size_t{512};

// Returns the idle time that a Keep-Alive header announces.
auto announced_idle(std::string_view keep_alive, milliseconds otherwise)
    -> milliseconds {
    constexpr auto parameter = std::string_view{"timeout="};
    const auto found = keep_alive.find(parameter);
    if (found == std::string_view::npos) {
        return otherwise;
    }
    const auto digits = keep_alive.substr(found + parameter.size());
    auto value = 0;
    const auto [end, failure] =
        std::from_chars(digits.data(), digits.data() + digits.size(), value);
    return failure == std::errc{} && value >= 0 && value < 86400
               ? milliseconds{seconds{value}}
               : otherwise;
}

template <class Pointer>
auto erase_from(std::vector<Pointer>& list, const Pointer& member) -> bool {
    const auto found = std::find(list.begin(), list.end(), member);
    if (found == list.end()) {
        return false;
    }
    list.erase(found);
    return true;
}

} // namespace

http_call_connection::http_call_connection(http_pool& pool, std::string address)
    : pool_{pool}, address_{std::move(address)} {}

http_call_connection::~http_call_connection() = default;

auto http_call_connection::start(std::string_view bytes, bool head_request,
                                 answer_observer& observer) -> void {
    observer_ = &observer;
    since_ = pool_.clock_.now();
    reader_ = std::make_unique<response_reader>(head_request);
    keep_alive_ = true;
    if (!stream_) {
        stream_ = tcp_stream::connect(pool_.thread_, address_, *this,
                                      pool_.options_.tcp_);
    }
    stream_->write(bytes);
}

auto http_call_connection::cancel() -> void {
    const auto self = shared_from_this();
    observer_ = nullptr;
    stream_.reset();
    pool_.remove(self);
}

auto http_call_connection::set_reading(bool wanted) -> void {
    if (stream_) {
        stream_->set_reading(wanted);
    }
}

auto http_call_connection::established() const -> bool {
    return stream_ && stream_->established();
}

auto http_call_connection::on_head(answer_head head) -> void {
    foreign_ = observer_ != nullptr && !observer_->on_answer_head(head);
    if (foreign_) {
        ++pool_.statistics_.foreign_answers_;
    }
    seen_foreign_ = seen_foreign_ || foreign_;
    keep_alive_ = keep_alive_ && head.keep_alive_;
    usable_until_ = pool_.clock_.now() - pool_.options_.idle_margin_ +
                    announced_idle(head.headers_.find("keep-alive"),
                                   pool_.options_.default_idle_);
}

auto http_call_connection::on_body(std::string_view piece) -> void {
    if (!foreign_ && observer_ != nullptr) {
        observer_->on_answer_body(piece);
    }
}

auto http_call_connection::on_data(std::string_view bytes) -> void {
    const auto self = shared_from_this();
    if (observer_ == nullptr) {
        // Nobody has asked for these bytes.
        stream_.reset();
        pool_.remove(self);
        return;
    }
    read_answers(bytes);
}

auto http_call_connection::read_answers(std::string_view bytes) -> void {
    auto rest = std::string{};
    while (observer_ != nullptr) {
        const auto state = reader_->feed(bytes, *this);
        if (observer_ == nullptr || state == read_state::incomplete) {
            return;
        }
        if (state == read_state::malformed) {
            fail(call_failure::malformed);
            return;
        }
        if (!std::exchange(foreign_, false)) {
            finish();
            return;
        }
        rest = reader_->restart();
        bytes = rest;
    }
}

auto http_call_connection::reusable() const -> bool {
    return stream_ && keep_alive_ && !seen_foreign_ &&
           carried_.size() < max_requests && reader_->surplus() == 0 &&
           stream_->buffered() == 0 && pool_.clock_.now() < usable_until_;
}

auto http_call_connection::has_carried(std::string_view id) const -> bool {
    return !id.empty() &&
           std::find(carried_.begin(), carried_.end(),
                     std::hash<std::string_view>{}(id)) != carried_.end();
}

auto http_call_connection::finish() -> void {
    const auto self = shared_from_this();
    auto* const observer = std::exchange(observer_, nullptr);
    if (reusable()) {
        stream_->set_reading(true);
        pool_.release(self);
    } else {
        stream_.reset();
        pool_.remove(self);
    }
    observer->on_answer_end();
}

auto http_call_connection::fail(call_failure failure) -> void {
    const auto self = shared_from_this();
    auto* const observer = std::exchange(observer_, nullptr);
    stream_.reset();
    pool_.remove(self);
    if (observer != nullptr) {
        observer->on_call_failed(failure);
    }
}

auto http_call_connection::on_closed(close_reason reason) -> void {
    const auto self = shared_from_this();
    closed_by_ = reason;
    if (observer_ == nullptr) {
        stream_.reset();
        pool_.remove(self);
        return;
    }
    if (reason == close_reason::not_connected) {
        fail(call_failure::not_sent);
        return;
    }
    if (reason == close_reason::end_of_stream && !foreign_ &&
        reader_->finish() == read_state::complete) {
        keep_alive_ = false;
        finish();
        return;
    }
    fail(reader_->started() && !foreign_ ? call_failure::incomplete
                                         : call_failure::no_answer);
}

http_pool::http_pool(reactor_thread& thread, const clock& time,
                     http_pool_options options)
    : thread_{thread}, clock_{time}, options_{options},
      replies_{std::make_shared<coordination::byte_budget>(
          options.max_replies_bytes_)} {}

http_pool::~http_pool() = default;

auto http_pool::take_idle(address_entry& entry, std::string_view id)
    -> connection_pointer {
    const auto now = clock_.now();
    std::erase_if(entry.idle_, [&](const connection_pointer& each) {
        const auto over = now >= each->usable_until_;
        if (over) {
            each->stream_.reset();
        }
        return over;
    });
    const auto found =
        std::find_if(entry.idle_.rbegin(), entry.idle_.rend(),
                     [&](const auto& each) { return !each->has_carried(id); });
    if (found == entry.idle_.rend()) {
        return nullptr;
    }
    auto connection = *found;
    entry.idle_.erase(std::next(found).base());
    return connection;
}

auto http_pool::send(const std::string& address, std::string_view bytes,
                     bool head_request, int limit, answer_observer& observer,
                     std::string_view id)
    -> std::shared_ptr<http_call_connection> {
    auto& entry = addresses_[address];
    auto connection = take_idle(entry, id);
    if (connection) {
        ++statistics_.reused_;
    } else if (static_cast<int>(entry.busy_.size()) >= limit) {
        return nullptr;
    } else {
        // Idle connections that have carried the id count as well.
        if (!entry.idle_.empty() &&
            static_cast<int>(entry.busy_.size() + entry.idle_.size()) >=
                limit) {
            entry.idle_.front()->stream_.reset();
            entry.idle_.erase(entry.idle_.begin());
        }
        ++statistics_.opened_;
        connection = std::make_shared<http_call_connection>(*this, address);
    }
    entry.busy_.push_back(connection);
    if (!id.empty()) {
        connection->carried_.push_back(std::hash<std::string_view>{}(id));
    }
    connection->start(bytes, head_request, observer);
    return connection;
}

auto http_pool::release(const connection_pointer& connection) -> void {
    auto& entry = addresses_[connection->address_];
    if (erase_from(entry.busy_, connection)) {
        entry.idle_.push_back(connection);
    }
}

auto http_pool::remove(const connection_pointer& connection) -> void {
    const auto found = addresses_.find(connection->address_);
    if (found == addresses_.end()) {
        return;
    }
    auto& entry = found->second;
    erase_from(entry.busy_, connection);
    erase_from(entry.idle_, connection);
    if (entry.busy_.empty() && entry.idle_.empty()) {
        addresses_.erase(found);
    }
}

auto http_pool::sweep() -> void {
    const auto now = clock_.now();
    auto late = std::vector<connection_pointer>{};
    for (auto& [address, entry] : addresses_) {
        std::erase_if(entry.idle_, [&](const connection_pointer& each) {
            const auto over = now >= each->usable_until_;
            if (over) {
                each->stream_.reset();
            }
            return over;
        });
        for (const auto& each : entry.busy_) {
            if (!each->stream_->established() &&
                now - each->since_ > options_.connect_timeout_) {
                late.push_back(each);
            }
        }
    }
    for (const auto& each : late) {
        each->fail(call_failure::not_sent);
    }
    std::erase_if(addresses_, [](const auto& each) {
        return each.second.busy_.empty() && each.second.idle_.empty();
    });
}

auto http_pool::drop_idle(const std::string& address) -> void {
    const auto found = addresses_.find(address);
    if (found != addresses_.end()) {
        found->second.idle_.clear();
    }
}

auto http_pool::open(const std::string& address) const -> int {
    const auto found = addresses_.find(address);
    return found == addresses_.end()
               ? 0
               : static_cast<int>(found->second.busy_.size() +
                                  found->second.idle_.size());
}

namespace {

class small_exchange final
    : public answer_observer,
      public std::enable_shared_from_this<small_exchange> {
public:
    small_exchange(small_call call,
                   std::shared_ptr<coordination::byte_budget> replies,
                   std::function<void(result<small_reply>)> done)
        : call_{std::move(call)}, done_{std::move(done)},
          replies_{std::move(replies)}, lease_{*replies_} {}

    auto start(http_pool& pool, reactor_thread& thread) -> void {
        if (!call_.headers_.contains("Host")) {
            call_.headers_.add("Host", call_.address_);
        }
        const auto bytes = write_request(call_.method_, call_.target_,
                                         call_.headers_, call_.body_);
        const auto self = shared_from_this();
        holder_ = self;
        connection_ = pool.send(call_.address_, bytes, call_.method_ == "HEAD",
                                call_.connections_, *this);
        if (!connection_) {
            end(error_code::unavailable, "no connection is left",
                run_status::not_run);
            return;
        }
        thread.after(call_.timeout_, [self] {
            if (self->connection_) {
                self->connection_->cancel();
                self->end(error_code::timeout, "no answer in time",
                          run_status::unknown);
            }
        });
    }

    auto on_answer_head(const answer_head& head) -> bool override {
        reply_.status_ = head.status_;
        reply_.headers_ = head.headers_;
        return true;
    }

    auto on_answer_body(std::string_view piece) -> void override {
        const auto size = reply_.body_.size() + piece.size();
        if (size <= call_.max_reply_bytes_ && lease_.resize(size)) {
            reply_.body_.append(piece);
            return;
        }
        connection_->cancel();
        end(error_code::payload_too_large,
            "a reply of " + std::to_string(size) + " bytes exceeds a bound (" +
                std::to_string(call_.max_reply_bytes_) + " each, " +
                std::to_string(replies_->limit()) + " for all)",
            run_status::unknown);
    }

    auto on_answer_end() -> void override { finish(std::move(reply_)); }

    auto on_call_failed(call_failure failure) -> void override {
        const auto unsent = failure == call_failure::not_sent;
        end(unsent ? error_code::unavailable : error_code::incomplete_answer,
            std::string{call_failure_names.name_of(failure)},
            unsent ? run_status::not_run : run_status::unknown);
    }

private:
    auto end(error_code code, std::string detail, run_status run) -> void {
        finish(tl::unexpected(
            error{code, call_.step_, call_.address_, std::move(detail), run}));
    }

    auto finish(result<small_reply> reply) -> void {
        const auto self = std::exchange(holder_, nullptr);
        connection_.reset();
        if (self) {
            reply_ = {};
            (void)lease_.resize(0);
            done_(std::move(reply));
        }
    }

    small_call call_;
    std::function<void(result<small_reply>)> done_;
    small_reply reply_;
    std::shared_ptr<coordination::byte_budget> replies_;
    coordination::byte_lease lease_;
    std::shared_ptr<http_call_connection> connection_;
    // Keeps this object while the call is open.
    std::shared_ptr<small_exchange> holder_;
};

} // namespace

auto fetch(http_pool& pool, reactor_thread& thread, small_call call,
           std::function<void(result<small_reply>)> done) -> void {
    std::make_shared<small_exchange>(std::move(call), pool.replies(),
                                     std::move(done))
        ->start(pool, thread);
}

} // namespace basilstream::transport
