#include "basilstream/daemon/version_log/version_log.hpp"

#include <algorithm>

#include "basilstream/coordination/rendezvous/rendezvous.hpp"

namespace basilstream::daemon {
namespace {

// Two, so that a version is recorded while one of them cannot reach the store.
constexpr auto writers_per_service = std::size_t{2};
// How long a record is taken to stand before it is written again.
constexpr auto rewrite_interval = seconds{60};
// Mean delay after a failed call.
constexpr auto retry_delay = milliseconds{500};
// Names of services have no line feed.
constexpr auto separator = '\n';

} // namespace

version_log::version_log(const version_log_context& context, std::string name,
                         coordination::version_history& history,
                         coordination::record_store& store)
    : context_{context}, name_{std::move(name)}, history_{history}, store_{
                                                                        store} {
    history_.await_records();
}

auto version_log::tick() -> void {
    const auto now = context_.clock_.now();
    if (call_in_flight_ || now < next_call_at_) {
        return;
    }
    if (!records_read_) {
        read_records();
        return;
    }
    for (auto& version : history_.take_expired(now)) {
        next_write_.erase({version.service_, version.version_});
        if (writes(version.service_)) {
            expired_.push_back(std::move(version));
        }
    }
    const auto present = history_.present_versions();
    std::erase_if(expired_, [&](const auto& version) {
        return std::find(present.begin(), present.end(), version) !=
               present.end();
    });
    if (!expired_.empty()) {
        write(expired_.back(), false);
        return;
    }
    for (const auto& version : present) {
        const auto due = next_write_.find({version.service_, version.version_});
        if ((due == next_write_.end() || now >= due->second) &&
            writes(version.service_)) {
            write(version, true);
            return;
        }
    }
}

auto version_log::writes(const std::string& service) const -> bool {
    const auto writers =
        coordination::select_by_weight(service, daemons_, writers_per_service);
    return std::find(writers.begin(), writers.end(), name_) != writers.end();
}

auto version_log::read_records() -> void {
    call_in_flight_ = true;
    store_.read_newest(coordination::shared_topic::software_versions,
                       [this](const auto& page) { on_records(page); });
}

auto version_log::on_records(const result<coordination::record_page>& page)
    -> void {
    call_in_flight_ = false;
    if (!page) {
        context_.log_.failure(transport::log_level::warning,
                              "reading the records of software versions failed",
                              page.error());
        retry_later();
        return;
    }
    const auto now = context_.clock_.now();
    for (const auto& record : page->records_) {
        const auto split = record.key_.find(separator);
        if (!record.value_ || split == std::string::npos) {
            continue;
        }
        history_.record_as_seen(
            {record.key_.substr(0, split), record.key_.substr(split + 1)}, now);
        next_write_[{record.key_.substr(0, split),
                     record.key_.substr(split + 1)}] = now + rewrite_interval;
    }
    records_read_ = true;
    history_.on_records_read();
}

auto version_log::write(const coordination::service_version& version,
                        bool present) -> void {
    call_in_flight_ = true;
    const auto key = version_key{version.service_, version.version_};
    auto record =
        coordination::store_record{key.first + separator + key.second, {}};
    if (present) {
        record.value_ = name_;
    }
    store_.append(coordination::shared_topic::software_versions, std::nullopt,
                  std::move(record), [this, key, present](const auto& outcome) {
                      on_written(key, present, outcome);
                  });
}

auto version_log::on_written(
    const version_key& key, bool present,
    const result<coordination::append_outcome>& outcome) -> void {
    call_in_flight_ = false;
    if (!outcome) {
        context_.log_.failure(transport::log_level::warning,
                              "writing the record of a software version failed",
                              outcome.error());
        retry_later();
        return;
    }
    context_.log_.info(present ? "software version recorded"
                               : "record of a software version removed",
                       {{"service", key.first}, {"version", key.second}});
    if (present) {
        next_write_[key] = context_.clock_.now() + rewrite_interval;
    } else {
        std::erase(expired_,
                   coordination::service_version{key.first, key.second});
    }
}

auto version_log::retry_later() -> void {
    const auto jitter = 0.5 + context_.random_.fraction();
    next_call_at_ =
        context_.clock_.now() +
        duration{static_cast<duration::rep>(
            jitter * static_cast<double>(duration{retry_delay}.count()))};
}

} // namespace basilstream::daemon
