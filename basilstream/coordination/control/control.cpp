#include "basilstream/coordination/control/control.hpp"

#include <utility>

namespace basilstream::coordination {

controller::controller(controller_options options, std::string daemon,
                       std::vector<std::string> shards, load_permits& permits,
                       random_source& random)
    : writer_{options.appender_, random}, reader_{options.replica_, random},
      snapshots_{options.snapshots_, random}, ownership_{options.ownership_,
                                                         std::move(daemon),
                                                         std::move(shards),
                                                         writer_, random},
      executor_{options.executor_, permits, writer_} {}

auto controller::poll(time_point now) -> controller_actions {
    auto actions = controller_actions{};
    actions.resolutions_ = writer_.take_resolutions();
    for (const auto& resolution : actions.resolutions_) {
        executor_.on_resolution(resolution);
    }
    if (reader_.ready()) {
        const auto current = reader_.current();
        ownership_.poll(state(), current, now);
        const auto owned = held();
        actions.orders_ = executor_.poll(state(), owned, current, now);
        const auto& shards = ownership_.shards();
        const auto writes_snapshots =
            !shards.empty() && owned.contains(shards.front());
        snapshots_.poll(reader_, writer_, writes_snapshots, now);
    }
    actions.append_ = writer_.poll(now);
    actions.read_ = reader_.poll(now);
    return actions;
}

auto controller::on_bounds(std::uint64_t ticket, log_bounds bounds,
                           time_point now) -> void {
    reader_.on_bounds(ticket, bounds, now);
    handle_reader_restart();
}

auto controller::on_records(std::uint64_t ticket,
                            std::vector<log_entry> entries, log_bounds bounds,
                            time_point now) -> std::vector<applied_record> {
    auto applied = reader_.on_records(ticket, std::move(entries), bounds, now);
    handle_reader_restart();
    for (const auto& read : applied) {
        writer_.on_record(read.envelope_.id_, read.offset_, read.outcome_);
        ownership_.on_applied(read, now);
    }
    writer_.on_position(state().next_offset());
    return applied;
}

// A reader that restarts from a snapshot skips records, which may include some
// of this daemon. The appender therefore queues its sent records again.
auto controller::handle_reader_restart() -> void {
    if (handled_restarts_ != reader_.restarts()) {
        handled_restarts_ = reader_.restarts();
        writer_.on_restart();
        writer_.on_position(state().next_offset());
    }
}

auto controller::on_truncated(std::uint64_t ticket, log_bounds bounds,
                              time_point now) -> void {
    reader_.on_truncated(ticket, bounds, now);
}

auto controller::on_read_failed(std::uint64_t ticket, time_point now) -> void {
    reader_.on_failed(ticket, now);
}

auto controller::on_append_accepted(std::uint64_t ticket,
                                    state::log_offset first_offset) -> void {
    writer_.on_accepted(ticket, first_offset);
}

auto controller::on_append_failed(std::uint64_t ticket,
                                  std::optional<duration> retry_after,
                                  time_point now) -> void {
    writer_.on_failed(ticket, retry_after, now);
}

auto controller::submit(append_purpose purpose, state::record body)
    -> result<state::record_id> {
    if (!reader_.ready()) {
        return tl::unexpected(
            error{error_code::not_ready,
                  step::log,
                  {},
                  "the state has not been restored from the log yet"});
    }
    return writer_.submit(purpose, std::move(body), state().next_offset());
}

auto controller::on_members(std::vector<std::string> members) -> void {
    ownership_.on_members(std::move(members));
}

auto controller::set_desired_placement(desired_placement wanted) -> void {
    executor_.set_desired_placement(std::move(wanted));
}

auto controller::on_report(runner_observation sighting, time_point now)
    -> void {
    executor_.on_report(std::move(sighting), now);
}

auto controller::on_runner_gone(std::string_view runner) -> void {
    executor_.on_runner_gone(runner);
}

auto controller::on_order_answer(const state::record_id& order,
                                 order_answer answer, time_point now) -> void {
    executor_.on_answer(order, answer, now);
}

auto controller::released() const -> bool {
    return held().empty() && writer_.pending_count(append_purpose::claims) == 0;
}

} // namespace basilstream::coordination
