/// Follows the configuration and the announcements of backend servers in the
/// shared store.
///
///     auto watch = store_watch{context, store, decoder, observer};
///     thread.every(milliseconds{50}, [&] { watch.tick(); });
///
/// Reads that fail are repeated with a pause that grows and is spread by
/// chance; what is known stays in force meanwhile. On one thread only.
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

/// Learns what the store holds.
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
    /// A read of the store has ended in good time: `page` covers the offsets
    /// from `from` to its end; records that change nothing are left out.
    virtual auto on_read(coordination::shared_topic topic, std::uint64_t from,
                         const coordination::record_page& page) -> void = 0;
};

/// What a watch gets from its process; all outlive it.
struct store_watch_context {
    const clock& clock_;
    random_source& random_;
    transport::logger& log_;
};

/// Periods of a watch.
struct store_watch_settings {
    /// How long a read of the configuration waits at the store for news.
    milliseconds config_wait_{1000};
    /// Shortest time between two reads of the configuration.
    milliseconds config_interval_{100};
    /// Time between two reads of the announcements. Announcements come all
    /// the time, so that a waiting read would return at each of them.
    milliseconds backend_interval_{600};
    /// How long a page that another daemon has read and passed on stands for a
    /// read of this daemon's own.
    milliseconds config_deferral_{1300};
    milliseconds backend_deferral_{1000};
    /// A read that took this much longer than it was allowed to wait is not
    /// passed on: this daemon is behind, and others may be ahead of it.
    milliseconds longest_read_{250};
    milliseconds first_pause_{150};
    milliseconds longest_pause_{1000};
};

class store_watch {
public:
    store_watch(const store_watch_context& context,
                store_watch_settings settings,
                coordination::record_store& store,
                const coordination::record_decoder& decoder,
                store_observer& observer);

    /// Starts the reads that are due; call every 50 ms or so.
    auto tick() -> void;

    /// Takes in a page that another daemon has read. It is ignored if it does
    /// not follow what this daemon has read.
    auto on_relayed(coordination::shared_topic topic, std::uint64_t from,
                    const coordination::record_page& page) -> void;

    /// Another daemon has seen news in the topic: read it now.
    auto on_news(coordination::shared_topic topic) -> void;

    /// Whether the backend servers have been listed once.
    [[nodiscard]] auto backends_known() const -> bool {
        return backends_.has_listing();
    }
    [[nodiscard]] auto backends() const
        -> const coordination::backend_directory& {
        return backends_;
    }
    /// When the store last answered a read of the topic.
    [[nodiscard]] auto last_read(coordination::shared_topic topic) const
        -> std::optional<time_point>;

private:
    struct reader {
        coordination::shared_topic topic_;
        milliseconds wait_{0};
        milliseconds interval_{0};
        milliseconds deferral_{0};
        // Takes records in; returns those that change something.
        std::vector<coordination::store_record> (store_watch::*take_)(
            const coordination::record_page&, bool) = nullptr;
        // Where to read on; nothing until a listing was read.
        std::optional<std::uint64_t> next_ = {};
        bool reading_ = false;
        time_point due_{};
        // Until when pages that others have read stand for reads.
        time_point deferred_until_{};
        time_point started_{};
        std::optional<time_point> last_read_ = {};
        int failures_ = 0;
    };

    auto start_read(reader& from) -> void;
    auto on_page(reader& from, bool listing,
                 const result<coordination::record_page>& page) -> void;
    auto on_failure(reader& from, const error& cause) -> void;
    auto take_config(const coordination::record_page& page, bool listing)
        -> std::vector<coordination::store_record>;
    auto take_backends(const coordination::record_page& page, bool listing)
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
};

} // namespace basilstream::daemon
