// The log's side of the randomised run, and the outside view of the state.
#include "testing/state_soak/world.hpp"

namespace basilstream::testing {

using std::chrono::milliseconds;
using std::chrono::seconds;

auto world::append(std::size_t index, const coordination::append_batch& batch)
    -> void {
    const auto incarnation = nodes_[index].incarnation_;
    const auto travel = between(milliseconds{1}, options_.log_delay_);
    const auto arrives = !chance(0.02);
    const auto late = chance(0.02);
    const auto doubled = chance(0.01);
    const auto answered = !late && !chance(0.02);
    schedule(late ? between({}, seconds{40}) : travel, [=, this] {
        if (log_.down_ || !arrives) {
            count("appends_failed");
            to_node(index, incarnation, travel, [=, this](node& writer) {
                writer.control_->on_append_failed(batch.ticket_, {},
                                                  clock_.now());
            });
            return;
        }
        const auto first = store(batch.records_);
        if (doubled) {
            store(batch.records_);
        }
        if (answered) {
            to_node(index, incarnation, travel, [=](node& writer) {
                writer.control_->on_append_accepted(batch.ticket_, first);
            });
        }
    });
    if (late && chance(0.5)) {
        to_node(index, incarnation, travel, [=, this](node& writer) {
            writer.control_->on_append_failed(batch.ticket_, seconds{1},
                                              clock_.now());
        });
    }
}

auto world::store(const std::vector<state::envelope>& records)
    -> state::log_offset {
    if (chance(0.005)) {
        store_one(std::nullopt);
    }
    const auto first = log_.bounds().next_;
    for (const auto& entry : records) {
        store_one(entry);
    }
    return first;
}

auto world::store_one(std::optional<state::envelope> entry)
    -> state::log_offset {
    const auto offset = log_.append(entry);
    count("records");
    if (!entry) {
        oracle_.skip(offset);
        return offset;
    }
    count("kind_" +
          std::string{state::record_kind_names.name_of(kind_of(entry->body_))});
    const auto verdict = oracle_.apply(offset, *entry).reason_;
    verdicts_.insert(offset, verdict);
    count("verdict_" + std::string{state::rejection_names.name_of(verdict)});
    if (verdict == state::rejection::none) {
        if (!valid_ids_.insert(entry->id_, clock_.now())) {
            violate("record_takes_effect_once", to_string(entry->id_));
        }
        if (const auto* put = std::get_if<state::resource_put>(&entry->body_)) {
            put_times_.insert(offset, clock_.now());
            if (put->expected_generation_ == 0) {
                declared_since_[full_name(put->resource_)] = clock_.now();
            }
        }
    }
    if (verdict == state::rejection::none) {
        note_recovery(entry->body_);
    }
    constexpr auto sampled = state::log_offset{8};
    if (oracle_.next_offset() % sampled == 0) {
        digests_.insert(oracle_.next_offset(), oracle_.digest());
    }
    return offset;
}

auto world::note_recovery(const state::record& body) -> void {
    if (const auto* claim = std::get_if<state::shard_claim>(&body)) {
        const auto lost = ownerless_since_.find(claim->shard_);
        if (lost != ownerless_since_.end()) {
            measure("takeover", lost->second);
            ownerless_since_.erase(lost);
        }
    }
    if (!std::holds_alternative<state::order_outcome>(body)) {
        return;
    }
    std::erase_if(unserved_since_, [&](const auto& lost) {
        const auto again = is_served(lost.first);
        if (again) {
            measure("reload", lost.second);
        }
        return again || oracle_.find_model(lost.first) == nullptr;
    });
}

auto world::read(std::size_t index, coordination::read_request request)
    -> void {
    const auto incarnation = nodes_[index].incarnation_;
    const auto travel = between(milliseconds{1}, options_.log_delay_);
    if (chance(0.01)) {
        return;
    }
    schedule(travel, [=, this] { answer_read(index, incarnation, request); });
}

auto world::answer_read(std::size_t index, std::uint64_t incarnation,
                        coordination::read_request request) -> void {
    const auto travel = between(milliseconds{1}, options_.log_delay_);
    const auto bounds = log_.bounds();
    const auto ticket = request.ticket_;
    if (log_.down_) {
        to_node(index, incarnation, travel, [=, this](node& reader) {
            reader.control_->on_read_failed(ticket, clock_.now());
        });
    } else if (request.kind_ == coordination::read_request::kind::bounds) {
        to_node(index, incarnation, travel, [=, this](node& reader) {
            reader.control_->on_bounds(ticket, bounds, clock_.now());
        });
    } else if (request.from_ < bounds.first_) {
        count("truncations");
        to_node(index, incarnation, travel, [=, this](node& reader) {
            reader.control_->on_truncated(ticket, bounds, clock_.now());
        });
    } else {
        auto entries = log_.read(request.from_, request.max_records_);
        const auto wait = entries.empty() && request.wait_.count() > 0
                              ? milliseconds{30}
                              : milliseconds{0};
        to_node(index, incarnation, travel + wait,
                [=, this, entries = std::move(entries)](node& reader) {
                    deliver_records(reader, ticket, entries, bounds);
                });
    }
}

auto world::deliver_records(node& reader, std::uint64_t ticket,
                            const std::vector<coordination::log_entry>& entries,
                            coordination::log_bounds bounds) -> void {
    const auto was_ready = reader.control_->ready();
    const auto applied =
        reader.control_->on_records(ticket, entries, bounds, clock_.now());
    for (const auto& one : applied) {
        const auto* expected = verdicts_.find(one.offset_);
        if (expected != nullptr && *expected != one.outcome_.reason_) {
            violate("readers_judge_alike", std::to_string(one.offset_));
        }
        const auto* accepted = put_times_.find(one.offset_);
        if (accepted != nullptr && was_ready) {
            measure("in_force", *accepted);
        }
    }
    if (chance(0.01)) {
        // The transport gives the same answer twice.
        reader.control_->on_records(ticket, entries, bounds, clock_.now());
    }
}

auto world::disturb_log() -> void {
    if (!faults_ || !options_.faults_.log_outages_ || log_.down_) {
        return;
    }
    count("outages");
    log_.down_ = true;
    schedule(between({}, seconds{25}), [this] { log_.down_ = false; });
}

} // namespace basilstream::testing
