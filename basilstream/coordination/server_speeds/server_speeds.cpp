#include "basilstream/coordination/server_speeds/server_speeds.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include <xxhash.h>

namespace basilstream::coordination {
namespace {

// Gaps of a stream that make a sample, and those that suffice at its end.
constexpr auto gaps_per_sample = std::size_t{16};
constexpr auto min_gaps = std::size_t{6};
// Long gaps come from prompts of other requests, and short ones from events
// that a busy daemon reads late. A quantile below the median avoids both.
constexpr auto gap_quantile = 0.35;

// A code holds, from the lowest bit, the logarithm of the gap in 7 bits (1 ms
// to 7 s, 0 is invalid), the load in 6 and a hash of the model in 8.
constexpr auto gap_bits = 7U;
constexpr auto load_bits = 6U;
constexpr auto model_bits = 8U;
constexpr auto log_gap_step = 0.07;
constexpr auto load_steps_per_slot = 32.0;
// Range of speeds: servers beyond it are more likely to send nonsense.
const auto max_slowness = std::log(4.0);
constexpr auto speed_steps = 61U;
constexpr auto weighted_flag = 64U;

// Draws the speed of a server with few samples towards 1: as if it had so many
// more samples of a typical server.
constexpr auto prior_samples = 3.0;
// Effect of the load before it is known, as the logarithm of the factor by
// which a full server is slower than an idle one, and how much it weighs: the
// sum of squared differences of loads that outweighs it.
constexpr auto prior_load_effect = 0.4;
constexpr auto prior_load_weight = 2.0;
constexpr auto max_load_effect = 1.4;
// A sample further from its server's speed counts as if it were so far.
constexpr auto max_residual = 0.7;
constexpr auto first_passes = 6;
constexpr auto further_passes = 2;
// Deviation of a median of n values over that of one value, times sqrt(n).
constexpr auto median_deviation = 1.25;
constexpr auto deviation_of_absolute_median = 1.48;
// Distance of the 10th and the 90th percentile in deviations.
constexpr auto percentile_distance = 2.56;
// Weighting ends at this share of the logarithm of the spread at which it
// begins.
constexpr auto end_share = 0.6;

// An idle server has at most this height, so that all of them take requests
// before the fastest ones are full: with 0.7, 9.7% of the first events of the
// simulation's lightest load were late, with 0.5 5.2%, all else equal.
constexpr auto max_base = 0.5;
// Full servers of a third of the speed make requests that wait in their queues
// late; the power below 1 leaves slow servers more of their slots.
constexpr auto slot_share_power = 0.7;
constexpr auto min_slot_share = 0.3;
// Least effect of the load from which heights are derived. Prompts of the other
// requests lengthen the time between events beyond what samples show.
constexpr auto min_relative_load_effect = 2.0;

auto clamp(double value, double bound) -> double {
    return std::clamp(value, -bound, bound);
}

auto quantile(std::vector<double>& values, double share) -> double {
    const auto place =
        std::lround(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + place, values.end());
    return values[static_cast<std::size_t>(place)];
}

auto median(std::vector<double>& values) -> double {
    return quantile(values, 0.5);
}

auto hash_of(std::string_view model) -> std::uint32_t {
    return static_cast<std::uint32_t>(XXH3_64bits(model.data(), model.size()) &
                                      ((1U << model_bits) - 1));
}

auto encode_sample(std::string_view model, duration gap, double load)
    -> std::uint32_t {
    const auto gap_ms = std::chrono::duration<double, std::milli>(gap).count();
    const auto gap_code = std::clamp(
        std::lround(std::log(std::max(gap_ms, 1.0)) / log_gap_step) + 1, 1L,
        (1L << gap_bits) - 1);
    const auto load_code = std::clamp(
        std::lround(std::clamp(load, 0.0, 2.0) * load_steps_per_slot), 0L,
        (1L << load_bits) - 1);
    return static_cast<std::uint32_t>(gap_code) |
           (static_cast<std::uint32_t>(load_code) << gap_bits) |
           (hash_of(model) << (gap_bits + load_bits));
}

auto encode_slowness(double slowness) -> std::uint32_t {
    const auto share = (clamp(slowness, max_slowness) / max_slowness + 1) / 2;
    return 1 + static_cast<std::uint32_t>(std::lround(share * speed_steps));
}

auto decode_slowness(std::uint32_t code) -> double {
    const auto share =
        static_cast<double>((code & (weighted_flag - 1)) - 1) / speed_steps;
    return (2 * share - 1) * max_slowness;
}

} // namespace

auto gap_sampler::on_events(std::uint64_t events, time_point now)
    -> std::optional<duration> {
    const auto previous = std::exchange(last_, now);
    if (!previous || events == 0) {
        return std::nullopt;
    }
    gaps_.push_back((now - *previous) / static_cast<std::int64_t>(events));
    if (gaps_.size() < gaps_per_sample) {
        return std::nullopt;
    }
    auto sample = finish();
    last_ = now;
    return sample;
}

auto gap_sampler::finish() -> std::optional<duration> {
    last_.reset();
    auto gaps = std::exchange(gaps_, {});
    if (gaps.size() < min_gaps) {
        return std::nullopt;
    }
    const auto place = static_cast<std::ptrdiff_t>(
        gap_quantile * static_cast<double>(gaps.size()));
    std::nth_element(gaps.begin(), gaps.begin() + place, gaps.end());
    return gaps[static_cast<std::size_t>(place)];
}

auto server_speeds::set_server(const speed_server& server) -> void {
    auto& state = servers_[server.id_];
    const auto replaced = state.server_.process_ != server.process_ ||
                          state.server_.service_ != server.service_;
    if (replaced) {
        state = {};
        reports_.erase(server.id_);
    }
    state.server_ = server;
}

auto server_speeds::remove_server(const std::string& id) -> void {
    servers_.erase(id);
    reports_.erase(id);
}

auto server_speeds::add_sample(server_state& server, std::string_view model,
                               double log_gap, double load, time_point now)
    -> void {
    auto index = model_indices_.find(model);
    if (index == model_indices_.end()) {
        index =
            model_indices_.emplace(std::string{model}, levels_.size()).first;
        levels_.emplace_back();
    }
    server.samples_.push_back(
        {index->second, log_gap, std::min(load, 1.0), now});
    if (server.samples_.size() > settings_.samples_per_server_) {
        server.samples_.pop_front();
    }
}

auto server_speeds::on_stream(const std::string& id, std::string_view model,
                              duration gap, double load, time_point now)
    -> void {
    if (gap <= duration{0} || !servers_.contains(id)) {
        return;
    }
    const auto code = encode_sample(model, gap, load);
    reports_[id] = code;
    // The same rounding on all daemons.
    on_report(id, code, now);
}

auto server_speeds::take_reports() -> std::map<std::string, std::uint32_t> {
    return std::exchange(reports_, {});
}

auto server_speeds::on_report(const std::string& id, std::uint32_t code,
                              time_point now) -> void {
    const auto found = servers_.find(id);
    const auto gap_code = code & ((1U << gap_bits) - 1);
    if (found == servers_.end() || gap_code == 0 ||
        code >> (gap_bits + load_bits + model_bits) != 0) {
        return;
    }
    const auto hash = code >> (gap_bits + load_bits);
    const auto& models = found->second.server_.models_;
    const auto is_meant = [&](const std::string& model) {
        return hash_of(model) == hash;
    };
    const auto model = std::find_if(models.begin(), models.end(), is_meant);
    // A sample that could belong to two models of the server is dropped.
    if (model == models.end() || std::find_if(std::next(model), models.end(),
                                              is_meant) != models.end()) {
        return;
    }
    const auto load_code = (code >> gap_bits) & ((1U << load_bits) - 1);
    add_sample(found->second, *model, (gap_code - 1) * log_gap_step,
               load_code / load_steps_per_slot, now);
}

auto server_speeds::expire_samples(time_point now) -> void {
    for (auto& [id, server] : servers_) {
        auto& samples = server.samples_;
        while (!samples.empty() &&
               now - samples.front().at_ > settings_.lifetime_) {
            samples.pop_front();
        }
    }
}

auto server_speeds::fit_levels() -> void {
    auto values = std::vector<std::vector<double>>(levels_.size());
    for (auto& level : levels_) {
        level.servers_ = 0;
    }
    for (const auto& [id, server] : servers_) {
        auto models = std::set<std::size_t>{};
        for (const auto& entry : server.samples_) {
            values[entry.model_].push_back(adjusted(entry) - server.slowness_);
            models.insert(entry.model_);
        }
        for (const auto model : models) {
            ++levels_[model].servers_;
        }
    }
    for (auto index = std::size_t{0}; index < levels_.size(); ++index) {
        if (!values[index].empty()) {
            levels_[index].level_ = median(values[index]);
        }
    }
}

auto server_speeds::fit_slowness() -> void {
    auto values = std::vector<double>{};
    for (auto& [id, server] : servers_) {
        values.clear();
        auto latest = server.known_at_.value_or(time_point::min());
        for (const auto& entry : server.samples_) {
            if (compares_servers(entry)) {
                values.push_back(adjusted(entry) -
                                 levels_[entry.model_].level_);
                latest = std::max(latest, entry.at_);
            }
        }
        if (values.size() < settings_.min_samples_) {
            continue;
        }
        const auto count = static_cast<double>(values.size());
        server.slowness_ = clamp(
            median(values) * count / (count + prior_samples), max_slowness);
        server.known_at_ = latest;
    }
}

auto server_speeds::centre_services() -> void {
    auto values = std::map<std::string, std::vector<double>>{};
    for (const auto& [id, server] : servers_) {
        if (server.known_at_) {
            values[server.server_.service_].push_back(server.slowness_);
        }
    }
    auto centres = std::map<std::string, double>{};
    for (auto& [service, known] : values) {
        centres[service] = median(known);
    }
    for (auto& [id, server] : servers_) {
        if (server.known_at_) {
            server.slowness_ -= centres[server.server_.service_];
        }
    }
}

auto server_speeds::fit_load_effect() -> void {
    // Compares samples of a server with each other only, as slow servers may
    // have other loads than fast ones.
    auto products = prior_load_weight * prior_load_effect;
    auto squares = prior_load_weight;
    for (const auto& known : servers_) {
        const auto& server = known.second;
        auto mean_load = 0.0;
        auto mean_gap = 0.0;
        auto count = 0.0;
        const auto relative_gap = [&](const sample& entry) {
            const auto expected = levels_[entry.model_].level_ +
                                  server.slowness_ + load_effect_ * entry.load_;
            return load_effect_ * entry.load_ +
                   clamp(entry.log_gap_ - expected, max_residual);
        };
        for (const auto& entry : server.samples_) {
            mean_load += entry.load_;
            mean_gap += relative_gap(entry);
            ++count;
        }
        for (const auto& entry : server.samples_) {
            const auto difference = entry.load_ - mean_load / count;
            products += difference * (relative_gap(entry) - mean_gap / count);
            squares += difference * difference;
        }
    }
    load_effect_ = std::clamp(products / squares, 0.0, max_load_effect);
}

auto server_speeds::fit(time_point now) -> void {
    expire_samples(now);
    const auto passes = fitted_ ? further_passes : first_passes;
    if (!std::exchange(fitted_, true) && load_effect_ == 0) {
        load_effect_ = prior_load_effect;
    }
    for (auto pass = 0; pass < passes; ++pass) {
        fit_levels();
        fit_slowness();
    }
    centre_services();
    fit_levels();
    fit_load_effect();
    refresh(now);
    for (const auto& [service, known] : services_) {
        const auto logarithm = std::log(known.spread_);
        const auto chance = chance_spread(service);
        update_weighting(service,
                         std::exp(std::sqrt(std::max(
                             logarithm * logarithm - chance * chance, 0.0))));
    }
}

auto server_speeds::sample_deviation() const -> double {
    auto residuals = std::vector<double>{};
    for (const auto& [id, server] : servers_) {
        for (const auto& entry : server.samples_) {
            if (compares_servers(entry)) {
                residuals.push_back(std::abs(adjusted(entry) -
                                             levels_[entry.model_].level_ -
                                             server.slowness_));
            }
        }
    }
    return residuals.empty() ? 0.0
                             : deviation_of_absolute_median * median(residuals);
}

auto server_speeds::chance_spread(const std::string& service) const -> double {
    auto factors = std::vector<double>{};
    for (const auto& [id, server] : servers_) {
        const auto count = static_cast<double>(server.samples_.size());
        if (server.server_.service_ == service && count > 0) {
            factors.push_back(std::sqrt(count) / (count + prior_samples));
        }
    }
    return factors.empty() ? 0.0
                           : percentile_distance * median_deviation *
                                 sample_deviation() * median(factors);
}

auto server_speeds::update_weighting(const std::string& service, double spread)
    -> void {
    auto& known = services_[service];
    auto& state = states_[service];
    const auto begin = std::log(settings_.spread_);
    const auto calls_for_change = known.weighted_
                                      ? std::log(spread) < end_share * begin
                                      : std::log(spread) >= begin;
    state.fits_ = calls_for_change ? state.fits_ + 1 : 0;
    const auto needed =
        known.weighted_ ? settings_.fits_to_end_ : settings_.fits_to_begin_;
    if (state.fits_ >= needed) {
        known.weighted_ = !known.weighted_;
        state.fits_ = 0;
    }
}

auto server_speeds::is_known(const server_state& server, time_point now) const
    -> bool {
    return server.known_at_ && now - *server.known_at_ < settings_.lifetime_;
}

auto server_speeds::learnt_speed(const server_state& server,
                                 time_point now) const -> double {
    if (!is_known(server, now)) {
        return 1;
    }
    const auto age = now - *server.known_at_;
    const auto left =
        std::min(1.0, std::chrono::duration<double>(settings_.lifetime_ - age) /
                          std::chrono::duration<double>(
                              settings_.lifetime_ - settings_.fading_after_));
    return std::exp(-left * server.slowness_);
}

auto server_speeds::refresh(time_point now) -> void {
    auto speeds = std::map<std::string, std::vector<double>>{};
    for (const auto& [id, server] : servers_) {
        if (is_known(server, now)) {
            speeds[server.server_.service_].push_back(
                learnt_speed(server, now));
        }
    }
    for (auto& [service, known] : services_) {
        known.known_servers_ = 0;
        known.spread_ = 1;
    }
    for (auto& [service, values] : speeds) {
        auto& known = services_[service];
        known.known_servers_ = values.size();
        if (values.size() < settings_.min_servers_) {
            continue;
        }
        auto& state = states_[service];
        state.fastest_ = quantile(values, 0.9);
        state.first_third_ = quantile(values, 1.0 / 3);
        state.second_third_ = quantile(values, 2.0 / 3);
        known.spread_ = state.fastest_ / quantile(values, 0.1);
    }
    for (auto& [service, known] : services_) {
        if (known.known_servers_ < settings_.min_servers_) {
            known.weighted_ = false;
        }
    }
}

auto server_speeds::estimates(time_point now) const
    -> std::map<std::string, std::uint32_t> {
    auto codes = std::map<std::string, std::uint32_t>{};
    for (const auto& [id, server] : servers_) {
        if (is_known(server, now)) {
            codes[id] =
                encode_slowness(-std::log(learnt_speed(server, now))) |
                (is_weighted(server.server_.service_) ? weighted_flag : 0U);
        }
    }
    return codes;
}

auto server_speeds::load_effect_percent() const -> std::uint32_t {
    return static_cast<std::uint32_t>(
        std::lround(100 * std::expm1(load_effect_)));
}

auto server_speeds::on_estimates(
    const std::map<std::string, std::uint32_t>& codes,
    std::uint32_t load_effect_percent, time_point now) -> void {
    auto weighted = std::map<std::string, bool>{};
    for (const auto& [id, code] : codes) {
        const auto found = servers_.find(id);
        if (found == servers_.end() || (code & (weighted_flag - 1)) == 0 ||
            code >= 2 * weighted_flag) {
            continue;
        }
        auto& server = found->second;
        server.slowness_ = decode_slowness(code);
        server.known_at_ = now;
        auto& flag = weighted[server.server_.service_];
        flag = flag || (code & weighted_flag) != 0;
    }
    if (load_effect_percent > 0) {
        load_effect_ =
            std::min(std::log1p(load_effect_percent / 100.0), max_load_effect);
    }
    for (const auto& [service, flag] : weighted) {
        services_[service].weighted_ = flag;
    }
    refresh(now);
}

auto server_speeds::is_weighted(const std::string& service) const -> bool {
    const auto found = services_.find(service);
    return found != services_.end() && found->second.weighted_;
}

auto server_speeds::weights(time_point now) const
    -> std::map<std::string, server_weight> {
    auto weights = std::map<std::string, server_weight>{};
    const auto effect =
        std::max(std::expm1(load_effect_), min_relative_load_effect);
    for (const auto& [id, server] : servers_) {
        const auto& service = server.server_.service_;
        if (!is_weighted(service)) {
            continue;
        }
        const auto speed = learnt_speed(server, now);
        const auto fastest = states_.at(service).fastest_;
        // A server at a share x of its slots needs (1 + effect * x) / speed
        // between two events. An idle one is as high as the share of its slots
        // at which the fastest needs as much.
        weights[id] = {
            .speed_ = speed,
            .slot_share_ =
                std::clamp(std::pow(speed / fastest, slot_share_power),
                           min_slot_share, 1.0),
            .base_ = std::clamp((fastest / speed - 1) / effect, 0.0, max_base)};
    }
    return weights;
}

auto server_speeds::speed_of(const std::string& id, time_point now) const
    -> double {
    const auto found = servers_.find(id);
    return found != servers_.end() &&
                   is_weighted(found->second.server_.service_)
               ? learnt_speed(found->second, now)
               : 1.0;
}

auto server_speeds::third_of(const std::string& id, time_point now) const
    -> std::optional<speed_third> {
    const auto found = servers_.find(id);
    if (found == servers_.end() || !is_known(found->second, now)) {
        return std::nullopt;
    }
    const auto& service = found->second.server_.service_;
    const auto known = services_.find(service);
    if (known == services_.end() ||
        known->second.known_servers_ < settings_.min_servers_) {
        return std::nullopt;
    }
    const auto& state = states_.at(service);
    const auto speed = learnt_speed(found->second, now);
    if (speed < state.first_third_) {
        return speed_third::slowest;
    }
    return speed < state.second_third_ ? speed_third::middle
                                       : speed_third::fastest;
}

} // namespace basilstream::coordination
