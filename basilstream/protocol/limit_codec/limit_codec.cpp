#include "basilstream/protocol/limit_codec/limit_codec.hpp"

#include "basilstream/protocol/generated/limit.pb.h"

namespace basilstream::protocol {
namespace {

using coordination::limit_action;
using coordination::limit_ledger;
using coordination::limit_record;

auto read_change(const wire::limit_change& source) -> limit_entry {
    constexpr auto last = static_cast<std::uint32_t>(limit_action::recover);
    if (source.action() > last) {
        return unknown_limit_record{};
    }
    return limit_record{.action_ = static_cast<limit_action>(source.action()),
                        .holder_ = source.holder(),
                        .sequence_ = source.sequence(),
                        .limit_ = source.limit(),
                        .units_ = source.units(),
                        .subject_ = source.subject(),
                        .subject_sequence_ = source.subject_sequence()};
}

auto read_holder(const wire::limit_share_holder& source)
    -> limit_ledger::holder {
    auto holder = limit_ledger::holder{};
    holder.newest_sequence_ = source.newest_sequence();
    for (const auto& share : source.shares()) {
        holder.shares_[share.limit()] = {share.units(), share.missing(),
                                         share.wished_at()};
    }
    return holder;
}

auto read_checkpoint(const wire::limit_checkpoint& source) -> limit_entry {
    auto holders = std::map<std::string, limit_ledger::holder, std::less<>>{};
    for (const auto& holder : source.holders()) {
        holders[holder.name()] = read_holder(holder);
    }
    return limit_checkpoint{
        source.at_offset(),
        limit_ledger::restore(std::move(holders), source.next_wish())};
}

} // namespace

auto encode_limit(const limit_record& record) -> std::string {
    auto target = wire::limit_log_record{};
    auto& change = *target.mutable_change();
    change.set_action(static_cast<std::uint32_t>(record.action_));
    change.set_holder(record.holder_);
    change.set_sequence(record.sequence_);
    change.set_limit(record.limit_);
    change.set_units(record.units_);
    change.set_subject(record.subject_);
    change.set_subject_sequence(record.subject_sequence_);
    return target.SerializeAsString();
}

auto encode_limit(const limit_checkpoint& checkpoint) -> std::string {
    auto target = wire::limit_log_record{};
    auto& body = *target.mutable_checkpoint();
    body.set_at_offset(checkpoint.at_offset_);
    body.set_next_wish(checkpoint.ledger_.next_request_order());
    for (const auto& [name, holder] : checkpoint.ledger_.holders()) {
        auto& row = *body.add_holders();
        row.set_name(name);
        row.set_newest_sequence(holder.newest_sequence_);
        for (const auto& [limit, share] : holder.shares_) {
            auto& part = *row.add_shares();
            part.set_limit(limit);
            part.set_units(share.units_);
            part.set_missing(share.outstanding_);
            part.set_wished_at(share.request_order_);
        }
    }
    return target.SerializeAsString();
}

auto decode_limit(std::string_view bytes) -> limit_entry {
    auto source = wire::limit_log_record{};
    if (!source.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return unknown_limit_record{};
    }
    if (source.has_change()) {
        return read_change(source.change());
    }
    if (source.has_checkpoint()) {
        return read_checkpoint(source.checkpoint());
    }
    return unknown_limit_record{};
}

} // namespace basilstream::protocol
