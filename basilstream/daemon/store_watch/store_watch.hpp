/// Watches the configuration, the announcements of backend servers and the
/// quarantine records in the shared store.
///
///     auto watch = store_watch{context, store, decoder, observer};
///     thread.every(milliseconds{50}, [&] { watch.tick(); });
///
/// Failed reads are retried with exponential backoff and jitter; meanwhile the
/// last known state stays in force. In a new era of the store offsets have been
/// given out again: each topic is then listed anew. Use on one thread only.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/base/random/random.hpp"
#include "basilstream/coordination/backend_directory/backend_directory.hpp"
#include "basilstream/coordination/record_store/record_store.hpp"
#include "basilstream/transport/logging/logging.hpp"

namespace basilstream::daemon {

/// Receives the changes that a store_watch reads.
class store_observer {
public:
    store_observer() = default;
    store_observer(const store_observer&) = delete;
    auto operator=(const store_observer&) -> store_observer& = delete;
    virtual ~store_observer() = default;

    virtual auto
    on_config(std::shared_ptr<const coordination::relay_config> config)
        -> void = 0;
    virtual auto on_backend(const coordination::backend_server& server)
        -> void = 0;
    virtual auto on_backend_gone(const std::string& id) -> void = 0;
    /// Called with each record of the quarantine topic in log order, and with
    /// the newest of each key after a listing.
    virtual auto on_quarantine_record(const coordination::store_record& record)
        -> void = 0;
    /// Called when this daemon has read a page without lagging (see
    /// max_read_overrun_), so that it can be relayed to other daemons. `page`
    /// covers the offsets from `from` to its end; records that change nothing
    /// are left out.
    virtual auto on_read(coordination::shared_topic topic, std::uint64_t from,
                         const coordination::record_page& page) -> void = 0;
};

/// Dependencies of a store_watch; all must outlive it.
struct store_watch_context {
    const clock& clock_;
    random_source& random_;
    transport::logger& log_;
};

/// Intervals and time-outs of a store_watch.
struct store_watch_settings {
    /// How long a read of the configuration waits at the store for new records
    /// (long poll).
    milliseconds config_wait_{1000};
    /// Shortest time between the starts of two reads of the configuration.
    milliseconds config_interval_{100};
    /// The same for the quarantine records, which are rare.
    milliseconds quarantine_wait_{3000};
    milliseconds quarantine_interval_{200};
    /// Shortest time between the starts of two reads of the announcements.
    /// Announcements arrive so often that a long poll would return at once.
    milliseconds backend_interval_{600};
    /// How long a page relayed by another daemon defers this daemon's next read
    /// of the topic.
    milliseconds config_deferral_{1300};
    milliseconds quarantine_deferral_{3300};
    milliseconds backend_deferral_{1000};
    /// Whether a listing defers the next read as a relayed page does: until
    /// then, a daemon that has just started may find one that reads for it.
    bool listing_defers_ = false;
    /// A page whose read took longer than its wait by more than this is not
    /// relayed: this daemon lags, and others may have read further.
    milliseconds max_read_overrun_{250};
    /// Bounds of the backoff after failed reads; jitter takes off up to half.
    milliseconds initial_backoff_{150};
    milliseconds max_backoff_{1000};
};

/// Returns the settings with which announcements and configurations are
/// followed in time, also if the daemon that reads for others fails just before
/// a read, or a long poll gets no answer. Reads are as rare as that allows:
/// the store's load and its cost grow with their number.
[[nodiscard]] auto schedule_reads(milliseconds announcement_delay,
                                  milliseconds config_delay)
    -> store_watch_settings;

class store_watch {
public:
    store_watch(const store_watch_context& context,
                store_watch_settings settings,
                coordination::record_store& store,
                const coordination::record_decoder& decoder,
                store_observer& observer);

    /// Starts the reads that are due. Call about every 50 ms.
    auto tick() -> void;

    /// Sets the number of daemons. Each write to the quarantine ends the
    /// waiting reads of its topic, and the writes grow with the number of
    /// daemons; with many of them reads therefore start less often.
    auto set_daemons(std::size_t count) -> void;

    /// Applies a page that another daemon has read from the offset `from`, and
    /// defers this daemon's next read. Ignored if records before `from` have
    /// not been read here, or in another era of the store.
    auto on_relayed(coordination::shared_topic topic, std::uint64_t from,
                    const coordination::record_page& page) -> void;

    /// Ends the deferral and makes a read due now, because another daemon has
    /// read new records in the topic.
    auto on_update_notice(coordination::shared_topic topic) -> void;

    /// Returns whether the backend servers have been listed at least once.
    [[nodiscard]] auto has_listed_backends() const -> bool {
        return backends_.has_listing();
    }
    [[nodiscard]] auto backends() const
        -> const coordination::backend_directory& {
        return backends_;
    }
    /// Returns when the topic was last read, by this daemon or by one that
    /// relayed its page; nothing if it never was.
    [[nodiscard]] auto last_read(coordination::shared_topic topic) const
        -> std::optional<time_point>;

private:
    // State of the reads of one topic.
    struct reader {
        coordination::shared_topic topic_;
        milliseconds wait_{0};
        milliseconds interval_{0};
        milliseconds deferral_{0};
        // Applies records; returns those that change something. The flag tells
        // whether the page is a full listing.
        std::vector<coordination::store_record> (store_watch::*apply_)(
            const coordination::record_page&, bool) = nullptr;
        // Offset of the next read; absent until a listing has been read.
        std::optional<std::uint64_t> next_offset_ = {};
        // Era of the store to which next_offset_ belongs, if the store names
        // eras.
        std::optional<std::uint64_t> era_ = {};
        bool read_in_flight_ = false;
        time_point next_read_at_{};
        // Until when the last relayed page defers the next read.
        time_point deferred_until_{};
        time_point read_started_at_{};
        // Offset of the read in flight or of the last one.
        std::uint64_t read_from_ = 0;
        std::optional<time_point> last_read_ = {};
        // Consecutive failed reads.
        int failures_ = 0;
    };

    // Returns the reader of a topic that is watched.
    [[nodiscard]] auto reader_of(coordination::shared_topic topic) -> reader&;
    auto start_read(reader& topic_reader) -> void;
    auto on_page(reader& topic_reader, bool is_listing,
                 const result<coordination::record_page>& page) -> void;
    // Makes a listing due if the era is another one than before.
    auto note_era(reader& topic_reader, std::optional<std::uint64_t> era)
        -> void;
    // Makes a listing due now.
    auto list_again(reader& topic_reader) -> void;
    auto on_failure(reader& topic_reader, const error& cause) -> void;
    auto apply_config(const coordination::record_page& page, bool is_listing)
        -> std::vector<coordination::store_record>;
    auto apply_backends(const coordination::record_page& page, bool is_listing)
        -> std::vector<coordination::store_record>;
    auto apply_quarantine(const coordination::record_page& page,
                          bool is_listing)
        -> std::vector<coordination::store_record>;
    auto decode_backend(const coordination::store_record& record)
        -> coordination::backend_record;
    auto publish_backends() -> void;

    store_watch_context context_;
    store_watch_settings settings_;
    coordination::record_store& store_;
    const coordination::record_decoder& decoder_;
    store_observer& observer_;
    coordination::backend_directory backends_;
    std::uint64_t config_version_ = 0;
    reader config_reader_;
    reader backend_reader_;
    reader quarantine_reader_;
};

} // namespace basilstream::daemon
