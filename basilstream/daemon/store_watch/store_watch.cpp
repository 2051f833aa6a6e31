#include "basilstream/daemon/store_watch/store_watch.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace basilstream::daemon {

using coordination::record_page;
using coordination::shared_topic;

auto schedule_reads(milliseconds announcement_delay, milliseconds config_delay)
    -> store_watch_settings {
    // Time for a page to reach the followers of a daemon.
    constexpr auto relay_time = milliseconds{300};
    auto settings = store_watch_settings{};
    // A follower reads for itself after half of the delay.
    settings.backend_deferral_ = announcement_delay / 2;
    settings.backend_interval_ = announcement_delay * 3 / 10;
    settings.config_wait_ = config_delay / 2;
    settings.config_deferral_ = settings.config_wait_ + relay_time;
    settings.listing_defers_ = true;
    return settings;
}

store_watch::store_watch(const store_watch_context& context,
                         store_watch_settings settings,
                         coordination::record_store& store,
                         const coordination::record_decoder& decoder,
                         store_observer& observer)
    : context_{context}, settings_{settings}, store_{store}, decoder_{decoder},
      observer_{observer}, config_reader_{.topic_ = shared_topic::configuration,
                                          .wait_ = settings.config_wait_,
                                          .interval_ =
                                              settings.config_interval_,
                                          .deferral_ =
                                              settings.config_deferral_,
                                          .apply_ = &store_watch::apply_config},
      backend_reader_{.topic_ = shared_topic::backends,
                      .interval_ = settings.backend_interval_,
                      .deferral_ = settings.backend_deferral_,
                      .apply_ = &store_watch::apply_backends},
      quarantine_reader_{.topic_ = shared_topic::quarantine,
                         .wait_ = settings.quarantine_wait_,
                         .interval_ = settings.quarantine_interval_,
                         .deferral_ = settings.quarantine_deferral_,
                         .apply_ = &store_watch::apply_quarantine} {}

auto store_watch::set_daemons(std::size_t count) -> void {
    constexpr auto interval_per_daemon = milliseconds{8};
    constexpr auto max_interval = milliseconds{1000};
    quarantine_reader_.interval_ =
        std::clamp(interval_per_daemon * static_cast<int>(count),
                   settings_.quarantine_interval_, max_interval);
}

auto store_watch::reader_of(shared_topic topic) -> reader& {
    return topic == shared_topic::configuration ? config_reader_
           : topic == shared_topic::quarantine  ? quarantine_reader_
                                                : backend_reader_;
}

auto store_watch::tick() -> void {
    const auto now = context_.clock_.now();
    for (auto* const topic_reader :
         {&config_reader_, &backend_reader_, &quarantine_reader_}) {
        if (!topic_reader->read_in_flight_ &&
            now >= topic_reader->next_read_at_) {
            start_read(*topic_reader);
        }
    }
    backends_.tick(now);
    publish_backends();
}

auto store_watch::last_read(shared_topic topic) const
    -> std::optional<time_point> {
    return topic == shared_topic::configuration ? config_reader_.last_read_
           : topic == shared_topic::quarantine  ? quarantine_reader_.last_read_
                                                : backend_reader_.last_read_;
}

auto store_watch::start_read(reader& topic_reader) -> void {
    topic_reader.read_in_flight_ = true;
    topic_reader.read_started_at_ = context_.clock_.now();
    const auto is_listing = !topic_reader.next_offset_;
    auto done = [this, &topic_reader,
                 is_listing](const result<record_page>& page) {
        on_page(topic_reader, is_listing, page);
    };
    if (is_listing) {
        store_.read_newest(topic_reader.topic_, std::move(done));
    } else {
        topic_reader.read_from_ = *topic_reader.next_offset_;
        store_.read_from(topic_reader.topic_, *topic_reader.next_offset_,
                         topic_reader.wait_, std::move(done));
    }
}

auto store_watch::on_page(reader& topic_reader, bool is_listing,
                          const result<record_page>& page) -> void {
    const auto now = context_.clock_.now();
    topic_reader.read_in_flight_ = false;
    if (!page) {
        on_failure(topic_reader, page.error());
        return;
    }
    topic_reader.last_read_ = now;
    if (std::exchange(topic_reader.failures_, 0) > 0) {
        context_.log_.info("shared store reads succeed again",
                           {{"topic", coordination::shared_topic_names.name_of(
                                          topic_reader.topic_)}});
    }
    if (topic_reader.topic_ == shared_topic::backends) {
        backends_.set_store_available(true, now);
    }
    note_era(topic_reader, page->era_);
    // The records after the last read have expired, or offsets have been given
    // out again.
    if (page->expired_ || (!is_listing && !topic_reader.next_offset_)) {
        list_again(topic_reader);
        return;
    }
    const auto first_offset = topic_reader.next_offset_.value_or(page->end_);
    topic_reader.next_offset_ =
        is_listing ? page->end_
                   : std::max(*topic_reader.next_offset_, page->end_);
    topic_reader.next_read_at_ =
        std::max({now, topic_reader.read_started_at_ + topic_reader.interval_,
                  topic_reader.deferred_until_});
    if (settings_.listing_defers_ && is_listing && !page->records_.empty()) {
        topic_reader.next_read_at_ =
            std::max(topic_reader.next_read_at_, now + topic_reader.deferral_);
    }
    auto unread = *page;
    if (!is_listing && first_offset > topic_reader.read_from_) {
        // Pages that were relayed during the read are newer than its records.
        std::erase_if(unread.records_, [&](const auto& record) {
            return record.offset_ < first_offset;
        });
    }
    auto changed_records = (this->*topic_reader.apply_)(unread, is_listing);
    const auto in_time = now - topic_reader.read_started_at_ <=
                         topic_reader.wait_ + settings_.max_read_overrun_;
    if (!is_listing && in_time) {
        observer_.on_read(topic_reader.topic_, first_offset,
                          {std::move(changed_records),
                           *topic_reader.next_offset_, false,
                           topic_reader.era_});
    }
}

auto store_watch::note_era(reader& topic_reader,
                           std::optional<std::uint64_t> era) -> void {
    const auto is_new = era && topic_reader.era_ && era != topic_reader.era_;
    topic_reader.era_ = era ? era : topic_reader.era_;
    if (!is_new) {
        return;
    }
    context_.log_.info("shared store has begun a new era",
                       {{"topic", coordination::shared_topic_names.name_of(
                                      topic_reader.topic_)},
                        {"era", std::to_string(*era)}});
    list_again(topic_reader);
    if (topic_reader.topic_ == shared_topic::backends) {
        // Servers write again what the store has lost.
        const auto now = context_.clock_.now();
        backends_.set_store_available(false, now);
        backends_.set_store_available(true, now);
    }
}

auto store_watch::list_again(reader& topic_reader) -> void {
    topic_reader.next_offset_.reset();
    topic_reader.deferred_until_ = time_point{};
    topic_reader.next_read_at_ = context_.clock_.now();
}

auto store_watch::on_relayed(shared_topic topic, std::uint64_t from,
                             const record_page& page) -> void {
    const auto now = context_.clock_.now();
    auto& topic_reader = reader_of(topic);
    if (page.era_ && topic_reader.era_ && page.era_ != topic_reader.era_) {
        // A page of a lower era was under way while the era changed.
        if (*page.era_ > *topic_reader.era_) {
            note_era(topic_reader, page.era_);
        }
        return;
    }
    const auto is_contiguous =
        topic_reader.next_offset_ && from <= *topic_reader.next_offset_;
    if (!is_contiguous) {
        return;
    }
    auto unread = record_page{{}, page.end_, false};
    for (const auto& record : page.records_) {
        if (record.offset_ >= *topic_reader.next_offset_) {
            unread.records_.push_back(record);
        }
    }
    topic_reader.next_offset_ = std::max(*topic_reader.next_offset_, page.end_);
    topic_reader.last_read_ = now;
    topic_reader.failures_ = 0;
    topic_reader.deferred_until_ = now + topic_reader.deferral_;
    topic_reader.next_read_at_ =
        std::max(topic_reader.next_read_at_, topic_reader.deferred_until_);
    if (topic == shared_topic::backends) {
        backends_.set_store_available(true, now);
    }
    (void)(this->*topic_reader.apply_)(unread, false);
}

auto store_watch::on_update_notice(shared_topic topic) -> void {
    auto& topic_reader = reader_of(topic);
    topic_reader.deferred_until_ = time_point{};
    topic_reader.next_read_at_ =
        std::min(topic_reader.next_read_at_, context_.clock_.now());
}

auto store_watch::on_failure(reader& topic_reader, const error& cause) -> void {
    const auto now = context_.clock_.now();
    if (topic_reader.failures_ == 0) {
        context_.log_.failure(transport::log_level::warning,
                              "reading the shared store failed", cause);
    }
    if (topic_reader.topic_ == shared_topic::backends) {
        backends_.set_store_available(false, now);
    }
    const auto doublings = std::min(topic_reader.failures_++, 10);
    const auto bound = std::min(settings_.initial_backoff_ * (1 << doublings),
                                settings_.max_backoff_);
    const auto jitter = 0.5 + 0.5 * context_.random_.fraction();
    topic_reader.next_read_at_ =
        now + duration{static_cast<duration::rep>(
                  jitter * static_cast<double>(duration{bound}.count()))};
}

auto store_watch::apply_config(const record_page& page, bool /*listing*/)
    -> std::vector<coordination::store_record> {
    auto changed_records = std::vector<coordination::store_record>{};
    for (const auto& record : page.records_) {
        auto skipped = std::vector<error>{};
        const auto config = decoder_.configuration(record, skipped);
        for (const auto& entry : skipped) {
            context_.log_.failure(transport::log_level::warning,
                                  "configuration entry ignored", entry);
        }
        if (!config) {
            context_.log_.failure(transport::log_level::warning,
                                  "undecodable configuration ignored",
                                  config.error());
        } else if (*config && (*config)->version_ > config_version_) {
            config_version_ = (*config)->version_;
            changed_records.push_back(record);
            observer_.on_config(*config);
        }
    }
    return changed_records;
}

auto store_watch::decode_backend(const coordination::store_record& record)
    -> coordination::backend_record {
    if (!record.value_) {
        return {record.key_, std::nullopt};
    }
    auto server = decoder_.backend(record);
    if (!server) {
        context_.log_.failure(transport::log_level::warning,
                              "undecodable backend server record ignored",
                              server.error());
        return {record.key_, std::nullopt};
    }
    return {record.key_, std::move(*server)};
}

auto store_watch::apply_backends(const record_page& page, bool is_listing)
    -> std::vector<coordination::store_record> {
    const auto now = context_.clock_.now();
    auto changed_records = std::vector<coordination::store_record>{};
    auto records = std::vector<coordination::backend_record>{};
    for (const auto& record : page.records_) {
        records.push_back(decode_backend(record));
    }
    if (is_listing) {
        backends_.replace_all(records, now);
    }
    for (auto index = std::size_t{0}; !is_listing && index < records.size();
         ++index) {
        if (backends_.apply(records[index], now)) {
            changed_records.push_back(page.records_[index]);
        }
    }
    publish_backends();
    return changed_records;
}

auto store_watch::apply_quarantine(const record_page& page, bool /*listing*/)
    -> std::vector<coordination::store_record> {
    for (const auto& record : page.records_) {
        observer_.on_quarantine_record(record);
    }
    return page.records_;
}

auto store_watch::publish_backends() -> void {
    for (const auto& id : backends_.take_changes()) {
        if (const auto* const server = backends_.find(id)) {
            observer_.on_backend(*server);
        } else {
            observer_.on_backend_gone(id);
        }
    }
}

} // namespace basilstream::daemon
