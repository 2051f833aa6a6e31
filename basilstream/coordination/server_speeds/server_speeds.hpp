/// Learns how fast backend servers are from the streams that they serve, and
/// derives the weights by which requests are spread.
///
///     auto speeds = server_speeds{{.spread_ = 1.5}};
///     speeds.set_server({"i-7f3a", "chat", "boot", {"chat/m1"}});
///     speeds.on_stream("i-7f3a", "chat/m1", milliseconds{31}, 0.4, now);
///     speeds.fit(now);                      // on the daemon that aggregates
///     routes.set_weights(speeds.weights(now));
///
/// Load pattern: the servers of a service differ in speed by 2.7 times, and so
/// do models. With equally many requests on all servers, a fifth of them causes
/// most of the gaps that callers notice, while faster ones have free slots. A
/// daemon sees a few streams a second over more than a hundred servers, so that
/// daemons report samples to the one that holds the placement lease, or to each
/// other in a small cluster, and get estimates back.
///
/// A sample is a low quantile of the times between events of a stream: prompts
/// of other requests cause long gaps only. The logarithm of a sample is
/// modelled as the sum of the server's slowness, the model's level and the
/// effect of the requests in flight; medians make the fit robust against brief
/// slowdowns and wrong values.
///
/// Sans-I/O; not safe for concurrent use.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/coordination/replica_shares/replica_shares.hpp"

namespace basilstream::coordination {

/// Collects the times between events of one stream.
class gap_sampler {
public:
    /// Takes in that `events` have arrived at once. Returns a sample whenever
    /// enough gaps are known, so that long streams give several.
    auto on_events(std::uint64_t events, time_point now)
        -> std::optional<duration>;
    /// Leaves out the time until the next arrival, as the stream was paused.
    auto skip_gap() -> void { last_.reset(); }
    /// Returns a sample of the gaps that are left at the end of an attempt, if
    /// they suffice, and starts again.
    auto finish() -> std::optional<duration>;

private:
    std::vector<duration> gaps_;
    std::optional<time_point> last_;
};

struct speed_settings {
    /// Weights apply where the ratio of the 90th to the 10th percentile of the
    /// speeds in a service exceeds this.
    double spread_ = 1.5;
    /// Servers of a service whose speed must be known for that.
    std::size_t min_servers_ = 10;
    /// A sample counts for this long. An estimate without a new sample fades
    /// from `fading_after_` on and is 1 at `lifetime_`.
    duration fading_after_ = seconds{20};
    duration lifetime_ = seconds{30};
    /// Samples kept for each server, the latest ones.
    std::size_t samples_per_server_ = 32;
    /// Samples without which a speed is not known.
    std::size_t min_samples_ = 4;
    /// Fits in a row that must agree before weighting begins or ends.
    int fits_to_begin_ = 2;
    int fits_to_end_ = 5;
};

/// A server whose speed is learnt.
struct speed_server {
    std::string id_;
    std::string service_;
    /// Identifies the process; estimates are reset when it changes.
    std::string process_;
    /// Keys of the models on it, unique over all services.
    std::vector<std::string> models_;
};

/// What is known of a service.
struct service_speeds {
    /// Ratio of the 90th to the 10th percentile of the known speeds; 1 if less
    /// than the required number are known.
    double spread_ = 1;
    std::size_t known_servers_ = 0;
    bool weighted_ = false;
};

enum class speed_third : std::uint8_t { slowest, middle, fastest };

class server_speeds {
public:
    explicit server_speeds(speed_settings settings = {})
        : settings_{settings} {}

    auto set_server(const speed_server& server) -> void;
    auto remove_server(const std::string& id) -> void;

    /// Takes in a sample of a stream of this daemon. `load` is the estimated
    /// number of requests per slot on the server.
    auto on_stream(const std::string& id, std::string_view model, duration gap,
                   double load, time_point now) -> void;
    /// Returns the codes of samples that other daemons have not got yet, at
    /// most one for each server, and forgets them. A code is below 2^21, so
    /// that it takes three bytes as a variable-length integer.
    [[nodiscard]] auto take_reports() -> std::map<std::string, std::uint32_t>;
    /// Takes in a code from another daemon; ignores one that is invalid or of
    /// an unknown server or model.
    auto on_report(const std::string& id, std::uint32_t code, time_point now)
        -> void;

    /// Estimates the speeds from all samples. Call about once a second on the
    /// daemon that gets the samples of all others.
    auto fit(time_point now) -> void;
    /// Updates what is known of the services as estimates fade; ends weighting
    /// where too few are left. Call on each daemon about once a second.
    auto refresh(time_point now) -> void;
    /// Returns the codes of the known speeds, below 2^7, for the other daemons.
    [[nodiscard]] auto estimates(time_point now) const
        -> std::map<std::string, std::uint32_t>;
    /// Returns the effect of the load, in percent, for the other daemons.
    [[nodiscard]] auto load_effect_percent() const -> std::uint32_t;
    /// Takes in the estimates of the daemon that aggregates. A server that is
    /// not named keeps its estimate until it fades.
    auto on_estimates(const std::map<std::string, std::uint32_t>& codes,
                      std::uint32_t load_effect_percent, time_point now)
        -> void;

    /// Returns the weights of the servers of services that are weighted.
    [[nodiscard]] auto weights(time_point now) const
        -> std::map<std::string, server_weight>;
    /// Returns the speed of a server, 1 for a typical one of its service.
    /// Always 1 if the service is not weighted or the speed is not known.
    [[nodiscard]] auto speed_of(const std::string& id, time_point now) const
        -> double;
    /// Returns where a server stands among those of its service with a known
    /// speed; nothing if too few are known.
    [[nodiscard]] auto third_of(const std::string& id, time_point now) const
        -> std::optional<speed_third>;
    /// Returns what is known, by service.
    [[nodiscard]] auto services() const
        -> const std::map<std::string, service_speeds>& {
        return services_;
    }

private:
    struct sample {
        // Index in levels_.
        std::size_t model_ = 0;
        double log_gap_ = 0;
        // Requests per slot, at most 1.
        double load_ = 0;
        time_point at_;
    };
    struct server_state {
        speed_server server_;
        std::deque<sample> samples_;
        // Logarithm of the time that the server takes, 0 for a typical one.
        double slowness_ = 0;
        // Time of the latest sample or estimate; empty if there is none.
        std::optional<time_point> known_at_;
    };
    // Level of a model: the logarithm of the time between its events on a
    // typical idle server.
    struct model_level {
        double level_ = 0;
        std::size_t servers_ = 0;
    };
    struct service_state {
        // Fits in a row that call for a change of weighting.
        int fits_ = 0;
        // Speeds at the bounds of the thirds and at the 90th percentile.
        double first_third_ = 1;
        double second_third_ = 1;
        double fastest_ = 1;
    };

    auto add_sample(server_state& server, std::string_view model,
                    double log_gap, double load, time_point now) -> void;
    auto expire_samples(time_point now) -> void;
    auto fit_levels() -> void;
    auto fit_slowness() -> void;
    auto centre_services() -> void;
    auto fit_load_effect() -> void;
    // Returns the standard deviation of a sample.
    [[nodiscard]] auto sample_deviation() const -> double;
    // Returns what the logarithm of the spread of equally fast servers would be
    // by chance.
    [[nodiscard]] auto chance_spread(const std::string& service) const
        -> double;
    // Returns the logarithm of the sample without the effect of its load.
    [[nodiscard]] auto adjusted(const sample& entry) const -> double {
        return entry.log_gap_ - load_effect_ * entry.load_;
    }
    // Returns whether samples of the model tell servers apart.
    [[nodiscard]] auto compares_servers(const sample& entry) const -> bool {
        return levels_[entry.model_].servers_ > 1;
    }
    [[nodiscard]] auto is_known(const server_state& server,
                                time_point now) const -> bool;
    // Returns the speed whether or not the service is weighted.
    [[nodiscard]] auto learnt_speed(const server_state& server,
                                    time_point now) const -> double;
    [[nodiscard]] auto is_weighted(const std::string& service) const -> bool;
    auto update_weighting(const std::string& service, double spread) -> void;

    speed_settings settings_;
    std::map<std::string, server_state> servers_;
    std::map<std::string, std::size_t, std::less<>> model_indices_;
    std::vector<model_level> levels_;
    // Logarithm of the factor by which a full server is slower than an idle
    // one.
    double load_effect_ = 0;
    bool fitted_ = false;
    std::map<std::string, std::uint32_t> reports_;
    std::map<std::string, service_speeds> services_;
    std::map<std::string, service_state> states_;
};

} // namespace basilstream::coordination
