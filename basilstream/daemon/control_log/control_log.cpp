#include "basilstream/daemon/control_log/control_log.hpp"

#include "basilstream/protocol/record_codec/record_codec.hpp"

namespace basilstream::daemon {
namespace {

constexpr auto control_stream = "control";

auto make_controller_options(const daemon_settings& settings)
    -> coordination::controller_options {
    auto options = coordination::controller_options{};
    options.appender_.appends_per_second_ =
        settings.platform_.appends_per_second_;
    return options;
}

} // namespace

control_log::control_log(const context& base, const daemon_settings& settings,
                         std::string incarnation,
                         transport::log_connection& connection,
                         coordination::load_permits& permits)
    : base_{base}, connection_{connection},
      controller_{make_controller_options(settings), std::move(incarnation),
                  settings.deployment_.shards_, permits, base.random_} {}

auto control_log::on_applied(applied_observer observer) -> void {
    applied_observers_.push_back(std::move(observer));
}

auto control_log::on_replaced(std::function<void()> observer) -> void {
    replaced_observers_.push_back(std::move(observer));
}

auto control_log::set_order_sender(order_sender sender) -> void {
    send_order_ = std::move(sender);
}

auto control_log::submit(coordination::append_purpose purpose,
                         state::record body, resolution_handler done)
    -> result<void> {
    auto id = controller_.submit(purpose, std::move(body));
    if (!id) {
        return tl::unexpected(id.error());
    }
    pending_handlers_.emplace(*id, std::move(done));
    return {};
}

auto control_log::tick() -> void {
    const auto actions = controller_.poll(base_.clock_.now());
    if (actions.read_) {
        start_read(*actions.read_);
    }
    if (actions.append_) {
        start_append(*actions.append_);
    }
    for (const auto& order : actions.orders_) {
        send_order_(order);
    }
    notify_resolutions(actions.resolutions_);
    notify_if_replaced();
}

auto control_log::notify_if_replaced() -> void {
    const auto restarts = controller_.reader().restarts();
    if (ready() == was_ready_ && restarts == seen_restarts_) {
        return;
    }
    was_ready_ = ready();
    seen_restarts_ = restarts;
    for (const auto& observer : replaced_observers_) {
        observer();
    }
}

auto control_log::owns(const std::string& runner) const -> bool {
    const auto* registered_runner = state().find_runner(runner);
    // A runner that is not in the control stream yet must be watched by every
    // daemon that could register it: those that own a shard or are not ready.
    return registered_runner == nullptr
               ? !held().empty() || !ready()
               : held().contains(registered_runner->shard_);
}

auto control_log::boot_id(const std::string& runner) const -> std::string {
    const auto* registered_runner = state().find_runner(runner);
    return registered_runner == nullptr ? std::string{}
                                        : registered_runner->boot_id_;
}

auto control_log::residents(const std::string& runner,
                            const std::string& boot_id) const
    -> std::optional<std::vector<coordination::resident_model>> {
    const auto* registered_runner = state().find_runner(runner);
    if (!ready() || registered_runner == nullptr || registered_runner->gone_ ||
        registered_runner->boot_id_ != boot_id) {
        return std::nullopt;
    }
    auto by_model = std::map<std::pair<std::string, std::string>,
                             coordination::resident_model>{};
    for (const auto& entry : registered_runner->residents_) {
        const auto is_serving = entry.state_ == state::resident_state::ready ||
                                entry.state_ == state::resident_state::foreign;
        auto& model = by_model[{entry.key_.model_, entry.key_.version_}];
        model.model_ = entry.key_.model_;
        model.version_ = entry.key_.version_;
        if (entry.key_.adapter_.empty()) {
            model.ready_ = is_serving;
        } else if (is_serving) {
            model.adapters_.push_back(entry.key_.adapter_);
        }
    }
    auto list = std::vector<coordination::resident_model>{};
    for (auto& [key, model] : by_model) {
        list.push_back(std::move(model));
    }
    return list;
}

auto control_log::start_read(const coordination::read_request& request)
    -> void {
    const auto ticket = request.ticket_;
    if (request.kind_ == coordination::read_request::kind::bounds) {
        connection_.bounds(
            control_stream, [this, ticket](result<transport::log_read> read) {
                base_.on_control([this, ticket, read = std::move(read)] {
                    on_bounds(ticket, read);
                });
            });
        return;
    }
    connection_.read(
        control_stream, request.from_, request.max_records_, request.wait_,
        [this, ticket](result<transport::log_read> read) {
            base_.on_control([this, ticket, read = std::move(read)] {
                on_records(ticket, read);
            });
        });
}

auto control_log::start_append(const coordination::append_batch& batch)
    -> void {
    auto payloads = std::vector<std::string>{};
    payloads.reserve(batch.records_.size());
    for (const auto& record : batch.records_) {
        payloads.push_back(protocol::encode_record(record));
    }
    connection_.append(
        control_stream, payloads,
        [this, ticket = batch.ticket_](result<std::uint64_t> offset) {
            base_.on_control([this, ticket, offset = std::move(offset)] {
                if (offset) {
                    controller_.on_append_accepted(ticket, *offset);
                } else {
                    base_.log_.failure(transport::log_level::debug,
                                       "append failed", offset.error());
                    controller_.on_append_failed(ticket,
                                                 offset.error().retry_after_,
                                                 base_.clock_.now());
                }
                tick();
            });
        });
}

auto control_log::on_bounds(std::uint64_t ticket,
                            const result<transport::log_read>& read) -> void {
    const auto now = base_.clock_.now();
    if (read) {
        controller_.on_bounds(ticket, {read->first_offset_, read->next_offset_},
                              now);
    } else {
        base_.log_.failure(transport::log_level::debug, "log read failed",
                           read.error());
        controller_.on_read_failed(ticket, now);
    }
    tick();
}

auto control_log::on_records(std::uint64_t ticket,
                             const result<transport::log_read>& read) -> void {
    const auto now = base_.clock_.now();
    if (!read) {
        base_.log_.failure(transport::log_level::debug, "log read failed",
                           read.error());
        controller_.on_read_failed(ticket, now);
    } else if (read->truncated_) {
        controller_.on_truncated(
            ticket, {read->first_offset_, read->next_offset_}, now);
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
    const auto applied = controller_.on_records(
        ticket, std::move(entries), {read.first_offset_, read.next_offset_},
        base_.clock_.now());
    for (const auto& record : applied) {
        for (const auto& observer : applied_observers_) {
            observer(record);
        }
    }
}

auto control_log::notify_resolutions(
    const std::vector<coordination::append_resolution>& resolutions) -> void {
    for (const auto& resolution : resolutions) {
        const auto found = pending_handlers_.find(resolution.id_);
        if (found != pending_handlers_.end()) {
            const auto done = std::move(found->second);
            pending_handlers_.erase(found);
            done(resolution);
        }
    }
}

} // namespace basilstream::daemon
