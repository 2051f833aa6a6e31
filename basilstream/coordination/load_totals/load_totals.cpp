#include "basilstream/coordination/load_totals/load_totals.hpp"

#include <utility>

namespace basilstream::coordination {

auto load_totals::set_loads(const std::string& daemon, backend_loads loads,
                            time_point now) -> void {
    daemons_[daemon] = {std::move(loads), now};
}

auto load_totals::expire(time_point now) -> void {
    std::erase_if(daemons_, [&](const auto& entry) {
        return now - entry.second.received_at_ > lifetime_;
    });
}

auto load_totals::sum_by_backend(time_point now) -> backend_loads {
    expire(now);
    auto sums = backend_loads{};
    for (const auto& [name, daemon] : daemons_) {
        for (const auto& [backend, requests] : daemon.loads_) {
            sums[backend] += requests;
        }
    }
    return sums;
}

auto load_totals::active_daemons(time_point now) -> std::vector<std::string> {
    expire(now);
    auto names = std::vector<std::string>{};
    for (const auto& [name, daemon] : daemons_) {
        names.push_back(name);
    }
    return names;
}

} // namespace basilstream::coordination
