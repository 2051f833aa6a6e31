#include "bench/load/internal/endpoints.hpp"

#include <utility>

namespace basilstream::bench::internal {
namespace {

constexpr auto avoid_period = seconds{2};

} // namespace

endpoints::endpoints(std::vector<std::string> seeds)
    : seeds_{std::move(seeds)}, addresses_{seeds_} {}

auto endpoints::pick(time_point now) -> std::string {
    return next_of(addresses_, now);
}

auto endpoints::pick_seed(time_point now) -> std::string {
    auto all = addresses_;
    all.insert(all.end(), seeds_.begin(), seeds_.end());
    return next_of(all, now);
}

auto endpoints::failed(const std::string& address, time_point now) -> void {
    avoid_until_[address] = now + avoid_period;
}

auto endpoints::update(std::vector<std::string> addresses,
                       duration time_to_live, time_point now) -> void {
    expires_ = now + time_to_live;
    if (!addresses.empty()) {
        addresses_ = std::move(addresses);
    }
}

auto endpoints::usable(const std::string& address, time_point now) const
    -> bool {
    const auto found = avoid_until_.find(address);
    return found == avoid_until_.end() || found->second <= now;
}

auto endpoints::next_of(const std::vector<std::string>& list, time_point now)
    -> std::string {
    for (auto tries = std::size_t{0}; tries < list.size(); ++tries) {
        const auto& address = list[turn_++ % list.size()];
        if (usable(address, now)) {
            return address;
        }
    }
    return list[turn_++ % list.size()];
}

} // namespace basilstream::bench::internal
