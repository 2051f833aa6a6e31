#include "basilstream/daemon/server_permits/server_permits.hpp"

#include <algorithm>

// Slots on servers that bear few rejections: what servers state, and how
// slots are given back.

namespace basilstream::daemon {

using coordination::slot_outcome;

auto server_slot::operator=(server_slot&& other) noexcept -> server_slot& {
    if (this != &other) {
        give_back(slot_outcome::unused);
        permits_ = std::exchange(other.permits_, nullptr);
        id_ = other.id_;
    }
    return *this;
}

auto server_slot::give_back(slot_outcome outcome) -> void {
    if (auto* const permits = std::exchange(permits_, nullptr)) {
        permits->give_back(id_, outcome);
    }
}

auto server_permits::on_bearable_stated(const std::string& server,
                                        const per_second_notice& notice,
                                        time_point sent_at) -> void {
    using kind = per_second_notice::kind;
    const auto now = context_.clock_.now();
    auto changed = false;
    switch (notice.kind_) {
    case kind::valid:
        changed = bearable_.on_named(server, notice.per_second_, now);
        break;
    case kind::absent:
        changed = bearable_.on_not_named(server, sent_at, now);
        break;
    case kind::malformed:
        malformed_.add();
        break;
    }
    if (changed) {
        on_bearable_changed(server, "answer");
    }
}

auto server_permits::on_bearable_changed(const std::string& server,
                                         const char* source) -> void {
    find_brittle_services();
    const auto bearable = bearable_.limit_of(server);
    context_.log_.info("rejections that a backend server bears changed",
                       {{"backend", server},
                        {"per_second", bearable ? std::to_string(*bearable)
                                                : std::string{"any"}},
                        {"source", source}});
}

auto server_permits::find_brittle_services() -> void {
    brittle_services_.clear();
    for (const auto& server : bearable_.servers()) {
        const auto service = services_.find(server);
        if (service == services_.end()) {
            continue;
        }
        const auto bearable = *bearable_.limit_of(server);
        const auto [entry, added] =
            brittle_services_.try_emplace(service->second, bearable);
        if (!added) {
            entry->second = std::min(entry->second, bearable);
        }
    }
}

auto server_permits::bearable_of(const std::string& server) const
    -> std::optional<double> {
    if (brittle_services_.empty()) {
        return std::nullopt;
    }
    const auto service = services_.find(server);
    const auto stated = service == services_.end()
                            ? brittle_services_.end()
                            : brittle_services_.find(service->second);
    return stated == brittle_services_.end() ? std::nullopt
                                             : std::optional{stated->second};
}

auto server_permits::give_back(std::uint64_t id, slot_outcome outcome) -> void {
    const auto held = held_slots_.extract(id);
    if (held.empty()) {
        return;
    }
    if (outcome == slot_outcome::rejected) {
        rejected_.add();
    }
    return_slot(held.mapped().owner_, {id, held.mapped().server_, outcome});
}

auto server_permits::return_slot(const std::string& owner,
                                 const protocol::slot_return& given_back)
    -> void {
    if (owner == self_) {
        apply_return(self_, given_back);
        pass_on_decisions();
        return;
    }
    auto update = protocol::relay_update{};
    update.slot_returns_ = {given_back};
    if (send_) {
        (void)send_(owner, update);
    }
}

auto server_permits::apply_return(const std::string& daemon,
                                  const protocol::slot_return& given_back)
    -> void {
    slots_.give_back(given_back.server_, {daemon, given_back.id_},
                     given_back.outcome_, context_.clock_.now());
    if (given_back.outcome_ != slot_outcome::rejected) {
        return;
    }
    context_.log_.info(
        "backend server rejected a request that held a slot",
        {{"backend", given_back.server_},
         {"in_use", std::to_string(slots_.in_use(given_back.server_))},
         {"slots", std::to_string(slots_.limit(given_back.server_))}});
}

} // namespace basilstream::daemon
