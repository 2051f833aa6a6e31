#include "basilstream/daemon/store_watch/store_watch.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace basilstream::daemon {

using coordination::record_page;
using coordination::shared_topic;

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
                                          .take_ = &store_watch::take_config},
      backend_reader_{.topic_ = shared_topic::backends,
                      .interval_ = settings.backend_interval_,
                      .deferral_ = settings.backend_deferral_,
                      .take_ = &store_watch::take_backends} {}

auto store_watch::tick() -> void {
    const auto now = context_.clock_.now();
    for (auto* const each : {&config_reader_, &backend_reader_}) {
        if (!each->reading_ && now >= each->due_) {
            start_read(*each);
        }
    }
    backends_.tick(now);
    publish_backends();
}

auto store_watch::last_read(shared_topic topic) const
    -> std::optional<time_point> {
    return topic == shared_topic::configuration ? config_reader_.last_read_
                                                : backend_reader_.last_read_;
}

auto store_watch::start_read(reader& from) -> void {
    from.reading_ = true;
    from.started_ = context_.clock_.now();
    const auto listing = !from.next_;
    auto done = [this, &from, listing](const result<record_page>& page) {
        on_page(from, listing, page);
    };
    if (listing) {
        store_.read_newest(from.topic_, std::move(done));
    } else {
        store_.read_from(from.topic_, *from.next_, from.wait_, std::move(done));
    }
}

auto store_watch::on_page(reader& from, bool listing,
                          const result<record_page>& page) -> void {
    const auto now = context_.clock_.now();
    from.reading_ = false;
    if (!page) {
        on_failure(from, page.error());
        return;
    }
    from.last_read_ = now;
    if (std::exchange(from.failures_, 0) > 0) {
        context_.log_.info(
            "store answers again",
            {{"topic", coordination::shared_topic_names.name_of(from.topic_)}});
    }
    if (from.topic_ == shared_topic::backends) {
        backends_.set_store_available(true, now);
    }
    if (page->expired_) {
        // The records since the last read are gone: list anew, at once.
        from.next_.reset();
        from.due_ = now;
        return;
    }
    const auto begun = from.next_.value_or(page->end_);
    from.next_ = listing ? page->end_ : std::max(*from.next_, page->end_);
    from.due_ =
        std::max({now, from.started_ + from.interval_, from.deferred_until_});
    auto news = (this->*from.take_)(*page, listing);
    const auto in_time =
        now - from.started_ <= from.wait_ + settings_.longest_read_;
    if (!listing && in_time) {
        observer_.on_read(from.topic_, begun,
                          {std::move(news), *from.next_, false});
    }
}

auto store_watch::on_relayed(shared_topic topic, std::uint64_t from,
                             const record_page& page) -> void {
    const auto now = context_.clock_.now();
    auto& reader =
        topic == shared_topic::configuration ? config_reader_ : backend_reader_;
    const auto follows = reader.next_ && from <= *reader.next_;
    if (!follows) {
        return;
    }
    auto fresh = record_page{{}, page.end_, false};
    for (const auto& record : page.records_) {
        if (record.offset_ >= *reader.next_) {
            fresh.records_.push_back(record);
        }
    }
    reader.next_ = std::max(*reader.next_, page.end_);
    reader.last_read_ = now;
    reader.failures_ = 0;
    reader.deferred_until_ = now + reader.deferral_;
    reader.due_ = std::max(reader.due_, reader.deferred_until_);
    if (topic == shared_topic::backends) {
        backends_.set_store_available(true, now);
    }
    (void)(this->*reader.take_)(fresh, false);
}

auto store_watch::on_news(shared_topic topic) -> void {
    auto& reader =
        topic == shared_topic::configuration ? config_reader_ : backend_reader_;
    reader.deferred_until_ = time_point{};
    reader.due_ = std::min(reader.due_, context_.clock_.now());
}

auto store_watch::on_failure(reader& from, const error& cause) -> void {
    const auto now = context_.clock_.now();
    if (from.failures_ == 0) {
        context_.log_.failure(transport::log_level::warning,
                              "store does not answer", cause);
    }
    if (from.topic_ == shared_topic::backends) {
        backends_.set_store_available(false, now);
    }
    const auto doublings = std::min(from.failures_++, 10);
    const auto bound = std::min(settings_.first_pause_ * (1 << doublings),
                                settings_.longest_pause_);
    const auto spread = 0.5 + 0.5 * context_.random_.fraction();
    from.due_ =
        now + duration{static_cast<duration::rep>(
                  spread * static_cast<double>(duration{bound}.count()))};
}

auto store_watch::take_config(const record_page& page, bool /*listing*/)
    -> std::vector<coordination::store_record> {
    auto news = std::vector<coordination::store_record>{};
    for (const auto& record : page.records_) {
        auto skipped = std::vector<error>{};
        const auto config = decoder_.configuration(record, skipped);
        for (const auto& entry : skipped) {
            context_.log_.failure(transport::log_level::warning,
                                  "configuration entry ignored", entry);
        }
        if (!config) {
            context_.log_.failure(transport::log_level::warning,
                                  "configuration ignored", config.error());
        } else if (*config && (*config)->version_ > config_version_) {
            config_version_ = (*config)->version_;
            news.push_back(record);
            observer_.on_config(*config);
        }
    }
    return news;
}

auto store_watch::decode_backend(const coordination::store_record& record)
    -> coordination::backend_record {
    if (!record.value_) {
        return {record.key_, std::nullopt};
    }
    auto server = decoder_.backend(record);
    if (!server) {
        context_.log_.failure(transport::log_level::warning,
                              "backend server's entry ignored", server.error());
        return {record.key_, std::nullopt};
    }
    return {record.key_, std::move(*server)};
}

auto store_watch::take_backends(const record_page& page, bool listing)
    -> std::vector<coordination::store_record> {
    const auto now = context_.clock_.now();
    auto news = std::vector<coordination::store_record>{};
    auto records = std::vector<coordination::backend_record>{};
    for (const auto& record : page.records_) {
        records.push_back(decode_backend(record));
    }
    if (listing) {
        backends_.replace_all(records, now);
    }
    for (auto index = std::size_t{0}; !listing && index < records.size();
         ++index) {
        if (backends_.apply(records[index], now)) {
            news.push_back(page.records_[index]);
        }
    }
    publish_backends();
    return news;
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
