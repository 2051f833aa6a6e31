#include "basilstream/daemon/claim_log/claim_log.hpp"

#include <utility>

#include "basilstream/protocol/claim_codec/claim_codec.hpp"

namespace basilstream::daemon {
namespace {

constexpr auto max_read_records = std::uint32_t{1024};
constexpr auto long_poll = milliseconds{1000};
// Pause after a failed read of a claim stream.
constexpr auto read_backoff = milliseconds{200};

} // namespace

claim_log::claim_log(const context& base, const daemon_settings& settings,
                     transport::log_connection& connection, cluster& peers,
                     std::string boot_id)
    : base_{base}, connection_{connection}, peers_{peers},
      name_{settings.name_}, service_{{},
                                      {settings.name_, std::move(boot_id)}} {
    service_.on_members({settings.name_}, base_.clock_.now());
    peers_.on_channel(
        protocol::peer_channel::claims,
        [this](const std::string& sender, const std::string& bytes) {
            auto message = protocol::decode_claim_message(bytes);
            if (message) {
                service_.on_message(sender, std::move(*message),
                                    base_.clock_.now());
                carry_out();
            }
        });
}

auto claim_log::claim(const service_request& request, callbacks then) -> void {
    waiting_.emplace(request.request_id_, std::move(then));
    service_.submit(
        {{request.organisation_, request.service_, request.idempotency_key_},
         coordination::fingerprint_of(request.method_, request.target_,
                                      request.body_),
         request.request_id_,
         request.arrived_ + request.deadline_},
        base_.clock_.now());
    carry_out();
}

auto claim_log::finish(const std::string& request_id, int status,
                       std::string content_type, std::string body) -> void {
    service_.finish(request_id,
                    {status, std::move(content_type), std::move(body)},
                    base_.clock_.now());
    carry_out();
}

auto claim_log::lose(const std::string& request_id) -> void {
    service_.lose(request_id, base_.clock_.now());
    carry_out();
}

auto claim_log::abandon(const std::string& request_id) -> void {
    service_.abandon(request_id, base_.clock_.now());
    carry_out();
}

auto claim_log::cancel(const std::string& request_id) -> bool {
    const auto cancelled = service_.cancel(request_id, base_.clock_.now());
    if (cancelled) {
        // The callbacks hold the request; nobody waits for them any more.
        const auto found = waiting_.find(request_id);
        if (found != waiting_.end()) {
            const auto callbacks = std::move(found->second);
            waiting_.erase(found);
        }
    }
    carry_out();
    return cancelled;
}

auto claim_log::set_members(const std::vector<std::string>& members) -> void {
    service_.on_members(members, base_.clock_.now());
    carry_out();
}

auto claim_log::release_all() -> void {
    service_.release_all(base_.clock_.now());
    carry_out();
}

auto claim_log::tick() -> void {
    service_.tick(base_.clock_.now());
    carry_out();
    read_due();
}

auto claim_log::carry_out() -> void {
    for (auto& output : service_.poll()) {
        std::visit([this](auto& one) { act(std::move(one)); }, output);
    }
}

auto claim_log::act(coordination::append_output output) -> void {
    auto payloads = std::vector<std::string>{};
    payloads.reserve(output.records_.size());
    for (const auto& record : output.records_) {
        payloads.push_back(protocol::encode(record));
    }
    connection_.append(
        coordination::claim_stream_name(output.shard_), payloads,
        [this, shard = output.shard_,
         ticket = output.ticket_](result<std::uint64_t> offset) {
            base_.on_control([this, shard, ticket, offset] {
                auto status = coordination::append_status::ok;
                if (!offset) {
                    status = offset.error().run_ == run_status::not_run
                                 ? coordination::append_status::refused
                                 : coordination::append_status::unknown;
                }
                service_.on_append_result(shard, ticket, status,
                                          base_.clock_.now());
                carry_out();
            });
        });
}

auto claim_log::act(const coordination::follow_output& output) -> void {
    followers_[output.shard_] = {output.from_, next_round_++, false, {}};
    read_due();
}

auto claim_log::act(const coordination::unfollow_output& output) -> void {
    followers_.erase(output.shard_);
}

auto claim_log::act(const coordination::send_output& output) -> void {
    auto bytes = protocol::encode(output.message_);
    if (output.peer_ != name_) {
        peers_.send(output.peer_, protocol::peer_channel::claims,
                    std::move(bytes));
        return;
    }
    // To itself, but not from within the service's own call.
    base_.on_control([this, message = output.message_] {
        service_.on_message(name_, message, base_.clock_.now());
        carry_out();
    });
}

auto claim_log::act(const coordination::dispatch_output& output) -> void {
    const auto found = waiting_.find(output.request_id_);
    if (found == waiting_.end()) {
        return;
    }
    const auto then = std::move(found->second);
    waiting_.erase(found);
    then.permit_();
}

auto claim_log::act(coordination::answer_output output) -> void {
    const auto found = waiting_.find(output.request_id_);
    if (found == waiting_.end()) {
        return;
    }
    const auto then = std::move(found->second);
    waiting_.erase(found);
    if (auto* failure = std::get_if<error>(&output.answer_)) {
        then.refuse_(std::move(*failure));
        return;
    }
    auto& stored = std::get<coordination::stored_answer>(output.answer_);
    then.replay_(stored.status_, std::move(stored.content_type_),
                 std::move(stored.body_));
}

auto claim_log::read_due() -> void {
    const auto now = base_.clock_.now();
    for (auto& [shard, reader] : followers_) {
        if (!reader.in_flight_ && now >= reader.not_before_) {
            read_shard(shard, reader);
        }
    }
}

auto claim_log::read_shard(std::uint32_t shard, follower& reader) -> void {
    reader.in_flight_ = true;
    connection_.read(
        coordination::claim_stream_name(shard), reader.from_, max_read_records,
        long_poll,
        [this, shard, round = reader.round_](result<transport::log_read> read) {
            base_.on_control([this, shard, round, read = std::move(read)] {
                on_read(shard, round, read);
            });
        });
}

auto claim_log::on_read(std::uint32_t shard, std::uint64_t round,
                        const result<transport::log_read>& read) -> void {
    const auto found = followers_.find(shard);
    if (found == followers_.end() || found->second.round_ != round) {
        return;
    }
    auto& reader = found->second;
    const auto now = base_.clock_.now();
    reader.in_flight_ = false;
    if (!read) {
        reader.not_before_ = now + read_backoff;
        service_.on_read_failed(shard, now);
        carry_out();
        return;
    }
    auto given = coordination::claim_read{};
    given.first_offset_ = read->first_offset_;
    given.next_offset_ = read->next_offset_;
    if (read->truncated_) {
        reader.from_ = read->first_offset_;
    }
    for (const auto& record : read->records_) {
        given.entries_.push_back(
            {record.offset_, protocol::decode_claim_record(record.bytes_)});
        reader.from_ = record.offset_ + 1;
    }
    service_.on_read(shard, std::move(given), now);
    carry_out();
    read_due();
}

} // namespace basilstream::daemon
