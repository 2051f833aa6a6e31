// Which of the system's addresses a caller uses: the answer of
// `GET /v1/endpoints` while it lives, without addresses that just failed.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "basilstream/base/clock/clock.hpp"

namespace basilstream::bench::internal {

class endpoints {
public:
    // `seeds` are asked first and are the last resort.
    explicit endpoints(std::vector<std::string> seeds);

    // Returns the next address in turn; one that failed only when all did.
    auto pick(time_point now) -> std::string;
    // Takes an address out of use for a while.
    auto failed(const std::string& address, time_point now) -> void;
    // Takes an answer of the system.
    auto update(std::vector<std::string> addresses, duration time_to_live,
                time_point now) -> void;
    [[nodiscard]] auto expired(time_point now) const -> bool {
        return now >= expires_;
    }
    // Whom to ask, while no answer is on its way.
    auto pick_seed(time_point now) -> std::string;

private:
    auto usable(const std::string& address, time_point now) const -> bool;
    auto next_of(const std::vector<std::string>& list, time_point now)
        -> std::string;

    std::vector<std::string> seeds_;
    std::vector<std::string> addresses_;
    std::map<std::string, time_point> avoid_until_;
    time_point expires_{};
    std::size_t turn_ = 0;
};

} // namespace basilstream::bench::internal
