#include "basilstream/daemon/counted_store/counted_store.hpp"

#include <utility>

namespace basilstream::daemon {

using coordination::append_outcome;
using coordination::record_page;
using coordination::shared_topic;

counted_store::counted_store(std::unique_ptr<coordination::record_store> store,
                             transport::metrics_registry& metrics)
    : store_{std::move(store)} {
    for (auto index = std::size_t{0}; index < counters_.size(); ++index) {
        const auto topic = static_cast<shared_topic>(index);
        const auto labels =
            "topic=\"" +
            std::string{coordination::shared_topic_names.name_of(topic)} +
            "\",outcome=\"";
        const auto add = [&](const char* outcome) {
            return &metrics.add_counter("basilstream_store_calls_total",
                                        "Calls to the shared store.",
                                        labels + outcome + "\"");
        };
        counters_.at(index) = {add("done"), add("failed")};
    }
}

template <class Value>
auto counted_store::count_outcome(shared_topic topic, handler<Value> done)
    -> handler<Value> {
    const auto& counters = counters_.at(static_cast<std::size_t>(topic));
    return [counters, done = std::move(done)](result<Value> outcome) {
        (outcome ? counters.done_ : counters.failed_)->add();
        done(std::move(outcome));
    };
}

auto counted_store::read_newest(shared_topic topic, handler<record_page> done)
    -> void {
    store_->read_newest(topic, count_outcome(topic, std::move(done)));
}

auto counted_store::read_from(shared_topic topic, std::uint64_t offset,
                              milliseconds wait, handler<record_page> done)
    -> void {
    store_->read_from(topic, offset, wait,
                      count_outcome(topic, std::move(done)));
}

auto counted_store::append(shared_topic topic, std::optional<std::uint64_t> at,
                           coordination::store_record record,
                           handler<append_outcome> done) -> void {
    store_->append(topic, at, std::move(record),
                   count_outcome(topic, std::move(done)));
}

} // namespace basilstream::daemon
