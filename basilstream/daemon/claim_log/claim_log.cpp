#include "basilstream/daemon/claim_log/claim_log.hpp"

#include <chrono>
#include <utility>

#include "basilstream/protocol/claim_codec/claim_codec.hpp"

namespace basilstream::daemon {
namespace {

// Sets the offset from the process's clock to Unix time, which a shard's owner
// uses to estimate the age of records written by previous owners.
auto make_claim_settings(const clock& time) -> coordination::claim_settings {
    auto settings = coordination::claim_settings{};
    settings.unix_offset_ =
        std::chrono::duration_cast<duration>(
            std::chrono::system_clock::now().time_since_epoch()) -
        time.now().time_since_epoch();
    return settings;
}

} // namespace

claim_log::claim_log(const context& base, const daemon_settings& settings,
                     transport::log_connection& connection, cluster& peers,
                     std::string boot_id)
    : base_{base}, connection_{connection}, peers_{peers},
      name_{settings.name_}, service_{make_claim_settings(base.clock_),
                                      {settings.name_, std::move(boot_id)}} {
    service_.on_members({settings.name_}, base_.clock_.now());
    peers_.on_channel(
        protocol::peer_channel::claims,
        [this](const std::string& sender, const std::string& bytes) {
            auto message = protocol::decode_claim_message(bytes);
            if (message) {
                service_.on_message(sender, std::move(*message),
                                    base_.clock_.now());
                execute_outputs();
            }
        });
}

auto claim_log::claim(const service_request& request, callbacks handlers)
    -> void {
    pending_callbacks_.emplace(request.request_id_, std::move(handlers));
    service_.submit(
        {{request.organisation_, request.service_, request.idempotency_key_},
         coordination::fingerprint_of(request.method_, request.target_,
                                      request.body_),
         request.request_id_,
         request.arrived_ + request.deadline_},
        base_.clock_.now());
    execute_outputs();
}

auto claim_log::finish(const std::string& request_id, int status,
                       std::string content_type, std::string body) -> void {
    service_.finish(request_id,
                    {status, std::move(content_type), std::move(body)},
                    base_.clock_.now());
    execute_outputs();
}

auto claim_log::mark_outcome_unknown(const std::string& request_id) -> void {
    service_.mark_outcome_unknown(request_id, base_.clock_.now());
    execute_outputs();
}

auto claim_log::abandon(const std::string& request_id) -> void {
    service_.abandon(request_id, base_.clock_.now());
    execute_outputs();
}

auto claim_log::cancel(const std::string& request_id) -> bool {
    const auto cancelled = service_.cancel(request_id, base_.clock_.now());
    if (cancelled) {
        // Release the callbacks: they keep the cancelled request alive.
        const auto found = pending_callbacks_.find(request_id);
        if (found != pending_callbacks_.end()) {
            const auto callbacks = std::move(found->second);
            pending_callbacks_.erase(found);
        }
    }
    execute_outputs();
    return cancelled;
}

auto claim_log::set_members(const std::vector<std::string>& members) -> void {
    service_.on_members(members, base_.clock_.now());
    execute_outputs();
}

auto claim_log::release_all() -> void {
    service_.release_all(base_.clock_.now());
    execute_outputs();
}

auto claim_log::tick() -> void {
    service_.tick(base_.clock_.now());
    execute_outputs();
    for (const auto& [shard, reader] : readers_) {
        reader->tick();
    }
}

auto claim_log::execute_outputs() -> void {
    for (auto& output : service_.poll()) {
        std::visit(
            [this](auto& typed_output) { execute(std::move(typed_output)); },
            output);
    }
}

auto claim_log::execute(coordination::append_output output) -> void {
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
                execute_outputs();
            });
        });
}

auto claim_log::execute(const coordination::follow_output& output) -> void {
    const auto shard = output.shard_;
    readers_[shard] = std::make_unique<stream_reader>(
        base_, connection_, coordination::claim_stream_name(shard),
        output.from_, [this, shard](const result<transport::log_read>& read) {
            on_read(shard, read);
        });
    readers_[shard]->tick();
}

auto claim_log::execute(const coordination::unfollow_output& output) -> void {
    readers_.erase(output.shard_);
}

auto claim_log::execute(const coordination::send_output& output) -> void {
    auto bytes = protocol::encode(output.message_);
    if (output.peer_ != name_) {
        peers_.send(output.peer_, protocol::peer_channel::claims,
                    std::move(bytes));
        return;
    }
    // Deliver messages to this daemon asynchronously, so that the service is
    // not re-entered.
    base_.on_control([this, message = output.message_] {
        service_.on_message(name_, message, base_.clock_.now());
        execute_outputs();
    });
}

auto claim_log::execute(const coordination::dispatch_output& output) -> void {
    const auto found = pending_callbacks_.find(output.request_id_);
    if (found == pending_callbacks_.end()) {
        return;
    }
    const auto handlers = std::move(found->second);
    pending_callbacks_.erase(found);
    handlers.permit_();
}

auto claim_log::execute(coordination::answer_output output) -> void {
    const auto found = pending_callbacks_.find(output.request_id_);
    if (found == pending_callbacks_.end()) {
        return;
    }
    const auto handlers = std::move(found->second);
    pending_callbacks_.erase(found);
    if (auto* failure = std::get_if<error>(&output.answer_)) {
        handlers.refuse_(std::move(*failure));
        return;
    }
    auto& stored = std::get<coordination::stored_answer>(output.answer_);
    handlers.replay_(stored.status_, std::move(stored.content_type_),
                     std::move(stored.body_));
}

auto claim_log::on_read(std::uint32_t shard,
                        const result<transport::log_read>& read) -> void {
    const auto now = base_.clock_.now();
    if (!read) {
        service_.on_read_failed(shard, now);
        execute_outputs();
        return;
    }
    auto batch = coordination::claim_read{};
    batch.first_offset_ = read->first_offset_;
    batch.next_offset_ = read->next_offset_;
    for (const auto& record : read->records_) {
        batch.entries_.push_back(
            {record.offset_, protocol::decode_claim_record(record.bytes_)});
    }
    service_.on_read(shard, batch, now);
    execute_outputs();
    if (const auto reader = readers_.find(shard); reader != readers_.end()) {
        reader->second->tick();
    }
}

} // namespace basilstream::daemon
