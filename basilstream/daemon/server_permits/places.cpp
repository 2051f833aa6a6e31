#include "basilstream/daemon/server_permits/server_permits.hpp"

#include <algorithm>

// Places on servers that bear few rejections: what servers state, and how
// places are given back.

namespace basilstream::daemon {

using coordination::place_outcome;

auto server_place::operator=(server_place&& other) noexcept -> server_place& {
    if (this != &other) {
        give_back(place_outcome::unused);
        permits_ = std::exchange(other.permits_, nullptr);
        id_ = other.id_;
    }
    return *this;
}

auto server_place::give_back(place_outcome outcome) -> void {
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

auto server_permits::give_back(std::uint64_t id, place_outcome outcome)
    -> void {
    const auto held = held_places_.extract(id);
    if (held.empty()) {
        return;
    }
    if (outcome == place_outcome::rejected) {
        rejected_.add();
    }
    return_place(held.mapped().owner_, {id, held.mapped().server_, outcome});
}

auto server_permits::return_place(const std::string& owner,
                                  const protocol::place_return& given_back)
    -> void {
    if (owner == self_) {
        apply_return(self_, given_back);
        pass_on_decisions();
        return;
    }
    auto update = protocol::relay_update{};
    update.place_returns_ = {given_back};
    if (send_) {
        (void)send_(owner, update);
    }
}

auto server_permits::apply_return(const std::string& daemon,
                                  const protocol::place_return& given_back)
    -> void {
    places_.give_back(given_back.server_, {daemon, given_back.id_},
                      given_back.outcome_, context_.clock_.now());
    if (given_back.outcome_ != place_outcome::rejected) {
        return;
    }
    context_.log_.info(
        "backend server rejected a request that held a place",
        {{"backend", given_back.server_},
         {"in_use", std::to_string(places_.in_use(given_back.server_))},
         {"places", std::to_string(places_.limit(given_back.server_))}});
}

} // namespace basilstream::daemon
