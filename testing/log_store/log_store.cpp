#include "testing/log_store/log_store.hpp"

#include <algorithm>
#include <utility>

namespace basilstream::testing {

log_store::log_store(log_settings settings, const clock& time)
    : settings_{settings}, clock_{time}, permits_{settings.appends_per_second_},
      refilled_{time.now()} {}

auto log_store::append(const std::string& stream,
                       std::vector<std::string> records) -> append_answer {
    ++appends_;
    auto bytes = std::uint64_t{0};
    for (const auto& record : records) {
        bytes += record.size();
    }
    if (bytes > max_append_bytes) {
        return {log_status::too_large};
    }
    if (!take_permit()) {
        ++refusals_;
        return {log_status::rate_limited};
    }
    auto& data = streams_[stream];
    const auto first = data.first_offset_ + data.records_.size();
    for (auto& record : records) {
        data.records_.push_back({clock_.now(), std::move(record)});
    }
    expire(data);
    return {log_status::ok, first, records.size()};
}

auto log_store::read(const std::string& stream, std::uint64_t from,
                     std::uint64_t max) -> read_answer {
    auto answer = read_answer{};
    answer.bounds_ = bounds(stream);
    if (from < answer.bounds_.first_offset_) {
        answer.status_ = log_status::out_of_range;
        return answer;
    }
    const auto& data = streams_[stream];
    const auto end = std::min(answer.bounds_.next_offset_, from + max);
    for (auto offset = from; offset < end; ++offset) {
        const auto& record = data.records_[offset - data.first_offset_];
        answer.entries_.push_back({offset, record.payload_});
    }
    return answer;
}

auto log_store::bounds(const std::string& stream) -> stream_bounds {
    auto& data = streams_[stream];
    expire(data);
    return {data.first_offset_, data.first_offset_ + data.records_.size()};
}

auto log_store::set_settings(log_settings settings) -> void {
    settings_ = settings;
    for (auto& [name, data] : streams_) {
        expire(data);
    }
}

auto log_store::take_permit() -> bool {
    const auto rate = settings_.appends_per_second_;
    if (rate <= 0) {
        return true;
    }
    const auto now = clock_.now();
    const auto elapsed =
        std::chrono::duration<double>(now - std::exchange(refilled_, now));
    permits_ = std::min(rate, permits_ + elapsed.count() * rate);
    if (permits_ < 1) {
        return false;
    }
    permits_ -= 1;
    return true;
}

auto log_store::expire(stream_data& stream) -> void {
    const auto oldest = clock_.now() - settings_.retained_time_;
    const auto by_age = settings_.retained_time_ > duration{0};
    const auto by_count = settings_.retained_records_ > 0;
    while (!stream.records_.empty()) {
        const auto aged = by_age && stream.records_.front().at_ < oldest;
        const auto surplus =
            by_count && stream.records_.size() > settings_.retained_records_;
        if (!aged && !surplus) {
            break;
        }
        stream.records_.pop_front();
        ++stream.first_offset_;
    }
}

} // namespace basilstream::testing
