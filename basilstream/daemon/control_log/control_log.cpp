#include "basilstream/daemon/control_log/control_log.hpp"

#include "basilstream/protocol/record_codec/record_codec.hpp"

namespace basilstream::daemon {
namespace {

constexpr auto control_stream = "control";

auto appender_settings(const daemon_settings& settings)
    -> coordination::appender_options {
    auto options = coordination::appender_options{};
    options.appends_per_second_ = settings.platform_.appends_per_second_;
    return options;
}

} // namespace

control_log::control_log(const context& base, const daemon_settings& settings,
                         transport::log_connection& connection)
    : base_{base}, connection_{connection}, appender_{appender_settings(
                                                          settings),
                                                      base.random_},
      replica_{{}, base.random_}, ownership_{{},
                                             settings.name_,
                                             settings.deployment_.shards_,
                                             appender_,
                                             base.random_},
      snapshots_{{}, base.random_} {
    ownership_.on_members({settings.name_});
}

auto control_log::on_applied(applied_observer observer) -> void {
    applied_observers_.push_back(std::move(observer));
}

auto control_log::on_resolution(resolution_observer observer) -> void {
    resolution_observers_.push_back(std::move(observer));
}

auto control_log::on_replaced(std::function<void()> observer) -> void {
    replaced_observers_.push_back(std::move(observer));
}

auto control_log::set_members(std::vector<std::string> members) -> void {
    ownership_.on_members(std::move(members));
}

auto control_log::submit(coordination::append_purpose purpose,
                         state::record body) -> result<state::record_id> {
    return appender_.submit(purpose, std::move(body),
                            replica_.state().next_offset());
}

auto control_log::tick() -> void {
    const auto now = base_.clock_.now();
    start_reads();
    if (replica_.ready()) {
        ownership_.poll(replica_.state(), replica_.current(), now);
        snapshots_.poll(replica_, appender_, !held().empty(), now);
    }
    start_appends();
    if (replica_.ready() != was_ready_ ||
        replica_.restarts() != seen_restarts_) {
        was_ready_ = replica_.ready();
        seen_restarts_ = replica_.restarts();
        appender_.on_restart();
        for (const auto& observer : replaced_observers_) {
            observer();
        }
    }
}

auto control_log::start_reads() -> void {
    while (const auto request = replica_.poll(base_.clock_.now())) {
        const auto ticket = request->ticket_;
        if (request->kind_ == coordination::read_request::kind::bounds) {
            connection_.bounds(
                control_stream,
                [this, ticket](result<transport::log_read> read) {
                    base_.on_control([this, ticket, read = std::move(read)] {
                        on_bounds(ticket, read);
                    });
                });
            continue;
        }
        connection_.read(
            control_stream, request->from_, request->max_records_,
            request->wait_, [this, ticket](result<transport::log_read> read) {
                base_.on_control([this, ticket, read = std::move(read)] {
                    on_records(ticket, read);
                });
            });
    }
}

auto control_log::start_appends() -> void {
    while (const auto batch = appender_.poll(base_.clock_.now())) {
        auto payloads = std::vector<std::string>{};
        payloads.reserve(batch->records_.size());
        for (const auto& record : batch->records_) {
            payloads.push_back(protocol::encode_record(record));
        }
        connection_.append(
            control_stream, payloads,
            [this, ticket = batch->ticket_](result<std::uint64_t> offset) {
                base_.on_control([this, ticket, offset = std::move(offset)] {
                    if (offset) {
                        appender_.on_accepted(ticket, *offset);
                        return;
                    }
                    base_.log_.failure(transport::log_level::debug,
                                       "append failed", offset.error());
                    appender_.on_failed(ticket, offset.error().retry_after_,
                                        base_.clock_.now());
                });
            });
    }
}

auto control_log::on_bounds(std::uint64_t ticket,
                            result<transport::log_read> read) -> void {
    const auto now = base_.clock_.now();
    if (!read) {
        base_.log_.failure(transport::log_level::debug, "log read failed",
                           read.error());
        replica_.on_failed(ticket, now);
        return;
    }
    replica_.on_bounds(ticket, {read->first_offset_, read->next_offset_}, now);
}

auto control_log::on_records(std::uint64_t ticket,
                             result<transport::log_read> read) -> void {
    const auto now = base_.clock_.now();
    if (!read) {
        base_.log_.failure(transport::log_level::debug, "log read failed",
                           read.error());
        replica_.on_failed(ticket, now);
    } else if (read->truncated_) {
        replica_.on_truncated(ticket, {read->first_offset_, read->next_offset_},
                              now);
    } else {
        apply(ticket, *read);
    }
    tick();
}

auto control_log::apply(std::uint64_t ticket, const transport::log_read& read)
    -> void {
    auto entries = std::vector<coordination::log_entry>{};
    entries.reserve(read.records_.size());
    for (const auto& record : read.records_) {
        entries.push_back(
            {record.offset_, protocol::decode_record(record.bytes_)});
    }
    const auto now = base_.clock_.now();
    const auto applied =
        replica_.on_records(ticket, std::move(entries),
                            {read.first_offset_, read.next_offset_}, now);
    for (const auto& record : applied) {
        appender_.on_record(record.envelope_.id_, record.offset_,
                            record.outcome_);
        ownership_.on_applied(record, now);
        for (const auto& observer : applied_observers_) {
            observer(record);
        }
    }
    appender_.on_position(replica_.state().next_offset());
    resolve();
}

auto control_log::resolve() -> void {
    for (const auto& resolution : appender_.take_resolutions()) {
        for (const auto& observer : resolution_observers_) {
            observer(resolution);
        }
    }
}

} // namespace basilstream::daemon
