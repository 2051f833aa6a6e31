#include "testing/engine/engine.hpp"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace basilstream::testing {
namespace {

constexpr auto cache_events_kept = std::size_t{4096};
// Distance of the past reports that a lagging engine keeps.
constexpr auto report_grain = milliseconds{20};

} // namespace

auto prefix_hash(std::string_view prompt) -> std::string {
    constexpr auto digits = std::string_view{"0123456789abcdef"};
    constexpr auto digit_count = 16;
    const auto prefix = prompt.substr(0, prefix_bytes);
    auto bits = XXH3_64bits(prefix.data(), prefix.size());
    auto text = std::string(digit_count, '0');
    for (auto digit = text.rbegin(); digit != text.rend(); ++digit) {
        *digit = digits[bits % digits.size()];
        bits /= digits.size();
    }
    return text;
}

engine::engine(engine_settings settings, const clock& time,
               random_source& random)
    : settings_{std::move(settings)}, clock_{time}, random_{random} {}

auto engine::submit(const completion_request& request) -> submit_answer {
    if (leaving_) {
        return {submit_outcome::leaving};
    }
    const auto* held =
        find_ready(request.model_, request.adapter_, request.version_);
    if (held == nullptr) {
        ++books_.not_resident_refusals_;
        return {submit_outcome::not_resident};
    }
    if (running_.size() >= settings_.slots_ &&
        waiting_.size() >= settings_.queue_) {
        return {submit_outcome::no_slot};
    }
    const auto text = token_stream{
        {request.model_, request.adapter_, held->version_, request.prompt_}};
    auto added =
        sequence{.id_ = next_sequence_++, .request_ = request, .text_ = text};
    added.position_ = request.resume_position_;
    added.end_ = std::max(text.count(request.max_tokens_), added.position_);
    added.version_ = held->version_;
    added.record_ = books_.generations_.size();
    books_.generations_.push_back({.request_id_ = request.request_id_,
                                   .attempt_ = request.attempt_,
                                   .model_ = request.model_,
                                   .first_position_ = added.position_});
    const auto id = added.id_;
    const auto place = std::find_if(
        waiting_.begin(), waiting_.end(), [&](const sequence& other) {
            return other.request_.priority_ < request.priority_;
        });
    waiting_.insert(place, std::move(added));
    fill_batch(clock_.now());
    return {submit_outcome::accepted, id};
}

auto engine::cancel(const std::string& request_id, std::uint64_t attempt)
    -> bool {
    const auto matches = [&](const sequence& other) {
        return other.request_.request_id_ == request_id &&
               other.request_.attempt_ == attempt;
    };
    const auto running =
        std::find_if(running_.begin(), running_.end(), matches);
    if (running != running_.end()) {
        finish(*running, finish_reason::cancelled, cancelled_);
        running_.erase(running);
        return true;
    }
    const auto waiting =
        std::find_if(waiting_.begin(), waiting_.end(), matches);
    if (waiting != waiting_.end()) {
        finish(*waiting, finish_reason::cancelled, cancelled_);
        waiting_.erase(waiting);
        return true;
    }
    return false;
}

auto engine::advance() -> std::vector<generation_event> {
    auto events = std::exchange(cancelled_, {});
    fill_batch(clock_.now());
    while (!running_.empty() && step_end_ <= clock_.now()) {
        run_step(events);
    }
    sweep_unloads();
    remember_report();
    return events;
}

auto engine::next_due() const -> std::optional<time_point> {
    if (!cancelled_.empty()) {
        return clock_.now();
    }
    if (running_.empty()) {
        return std::nullopt;
    }
    return std::max(step_end_, clock_.now());
}

auto engine::step_time() const -> duration {
    const auto size = static_cast<std::int64_t>(running_.size());
    const auto step =
        settings_.step_base_ + settings_.step_per_sequence_ * size;
    return std::chrono::duration_cast<duration>(step * slowdown_);
}

auto engine::fill_batch(time_point at) -> void {
    const auto idle = running_.empty();
    while (running_.size() < settings_.slots_ && !waiting_.empty()) {
        auto next = std::move(waiting_.front());
        waiting_.pop_front();
        start(std::move(next), at);
    }
    if (idle && !running_.empty()) {
        step_end_ = at + step_time();
    }
}

auto engine::start(sequence waiting, time_point at) -> void {
    const auto& request = waiting.request_;
    const auto cached =
        touch_cache(request.model_, prefix_hash(request.prompt_));
    const auto size = static_cast<std::int64_t>(request.prompt_.size());
    const auto skipped =
        cached ? std::min<std::int64_t>(size, prefix_bytes) : 0;
    books_.cache_hits_ += cached ? 1 : 0;
    waiting.prefilled_ = at + settings_.prefill_per_byte_ * (size - skipped);
    books_.generations_[waiting.record_].started_ = true;
    running_.push_back(std::move(waiting));
}

auto engine::run_step(std::vector<generation_event>& events) -> void {
    for (auto& member : running_) {
        if (member.prefilled_ > step_end_) {
            continue;
        }
        if (member.position_ < member.end_) {
            events.push_back({member.id_, member.position_,
                              member.text_.at(member.position_)});
            ++member.position_;
            ++books_.generations_[member.record_].tokens_;
        }
        if (member.position_ >= member.end_) {
            const auto reason =
                member.text_.finish(member.request_.max_tokens_);
            finish(member, *finish_reason_names.parse(reason), events);
        }
    }
    std::erase_if(running_, [&](const sequence& member) {
        return books_.generations_[member.record_].finish_.has_value();
    });
    fill_batch(step_end_);
    step_end_ += step_time();
}

auto engine::finish(sequence& ended, finish_reason reason,
                    std::vector<generation_event>& events) -> void {
    books_.generations_[ended.record_].finish_ = reason;
    events.push_back({ended.id_, ended.position_, {}, reason});
}

auto engine::touch_cache(const std::string& model, const std::string& hash)
    -> bool {
    const auto key = cache_key{model, hash};
    const auto known = std::find(cache_.begin(), cache_.end(), key);
    if (known != cache_.end()) {
        cache_.splice(cache_.begin(), cache_, known);
        return true;
    }
    cache_.push_front(key);
    publish(true, key);
    if (cache_.size() > settings_.cache_entries_) {
        publish(false, cache_.back());
        cache_.pop_back();
    }
    return false;
}

auto engine::publish(bool stored, const cache_key& key) -> void {
    const auto sequence = cache_sequence_++;
    if (random_.fraction() < settings_.cache_event_loss_) {
        return;
    }
    cache_events_.push_back({clock_.now() + settings_.cache_event_lag_,
                             {sequence, stored, key.first, key.second}});
    if (cache_events_.size() > cache_events_kept) {
        cache_events_.pop_front();
    }
}

auto engine::cache_events(std::uint64_t from) const -> cache_event_page {
    auto page = cache_event_page{.next_ = from};
    for (const auto& [visible, event] : cache_events_) {
        if (visible > clock_.now()) {
            break;
        }
        if (event.sequence_ >= from) {
            page.events_.push_back(event);
            page.next_ = event.sequence_ + 1;
        }
    }
    return page;
}

auto engine::export_kv(const std::string& model, const std::string& hash)
    -> std::optional<std::string> {
    const auto key = cache_key{model, hash};
    if (std::find(cache_.begin(), cache_.end(), key) == cache_.end()) {
        return std::nullopt;
    }
    return "kv " + model + " " + hash;
}

auto engine::import_kv(const std::string& model, const std::string& hash)
    -> void {
    touch_cache(model, hash);
}

auto engine::current_report() -> engine_report {
    auto report = engine_report{};
    report.sequence_ = report_sequence_++;
    report.used_bytes_ = used_bytes();
    report.leaving_ = leaving_;
    report.role_ = role_;
    report.running_ = running_.size();
    report.waiting_ = waiting_.size();
    report.token_ms_ =
        std::chrono::duration<double, std::milli>(step_time()).count();
    report.highest_fencing_ = highest_fencing_;
    report.residents_.assign(residents_.begin(), residents_.end());
    report.finished_orders_ = finished_orders_;
    return report;
}

auto engine::remember_report() -> void {
    if (settings_.report_lag_ == duration{0}) {
        past_reports_.clear();
        return;
    }
    const auto now = clock_.now();
    if (!past_reports_.empty() &&
        now - past_reports_.back().at_ < report_grain) {
        return;
    }
    past_reports_.push_back({now, current_report()});
    // One report older than the lag is kept: it is the one to publish.
    while (past_reports_.size() > 1 &&
           past_reports_[1].at_ <= now - settings_.report_lag_) {
        past_reports_.pop_front();
    }
}

auto engine::report() -> engine_report {
    remember_report();
    return past_reports_.empty() ? current_report()
                                 : past_reports_.front().report_;
}

} // namespace basilstream::testing
