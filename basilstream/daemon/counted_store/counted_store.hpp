/// Counts the calls to a shared store by topic and outcome.
///
///     auto store = counted_store{std::move(other), metrics};
///     store.read_newest(topic, done);   // as other's, and counted
///
/// On the thread of the store beneath.
#pragma once

#include <array>
#include <memory>
#include <string>

#include "basilstream/coordination/record_store/record_store.hpp"
#include "basilstream/transport/metrics/metrics.hpp"

namespace basilstream::daemon {

class counted_store final : public coordination::record_store {
public:
    /// `metrics` outlives it.
    counted_store(std::unique_ptr<coordination::record_store> store,
                  transport::metrics_registry& metrics);

    auto read_newest(coordination::shared_topic topic,
                     handler<coordination::record_page> done) -> void override;
    auto read_from(coordination::shared_topic topic, std::uint64_t offset,
                   milliseconds wait, handler<coordination::record_page> done)
        -> void override;
    auto append(coordination::shared_topic topic,
                std::optional<std::uint64_t> at,
                coordination::store_record record,
                handler<coordination::append_outcome> done) -> void override;

private:
    struct topic_counters {
        transport::counter* done_ = nullptr;
        transport::counter* failed_ = nullptr;
    };

    // Wraps a handler so that its outcome is counted.
    template <class Value>
    auto count_outcome(coordination::shared_topic topic, handler<Value> done)
        -> handler<Value>;

    std::unique_ptr<coordination::record_store> store_;
    // By topic.
    std::array<topic_counters, coordination::shared_topic_names.rows_.size()>
        counters_{};
};

} // namespace basilstream::daemon
