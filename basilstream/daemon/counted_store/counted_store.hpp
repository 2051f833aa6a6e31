/// Record store decorator that counts calls by topic and outcome.
///
///     auto store = counted_store{std::move(other), metrics};
///     store.read_newest(topic, done);   // forwarded to other and counted
///
/// Use on the thread of the wrapped store.
#pragma once

#include <array>
#include <memory>
#include <string>

#include "basilstream/coordination/record_store/record_store.hpp"
#include "basilstream/transport/metrics/metrics.hpp"

namespace basilstream::daemon {

class counted_store final : public coordination::record_store {
public:
    /// `metrics` must outlive the store.
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

    // Wraps a handler to count its outcome.
    template <class Value>
    auto count_outcome(coordination::shared_topic topic, handler<Value> done)
        -> handler<Value>;

    std::unique_ptr<coordination::record_store> store_;
    // Indexed by topic.
    std::array<topic_counters, coordination::shared_topic_names.rows_.size()>
        counters_{};
};

} // namespace basilstream::daemon
