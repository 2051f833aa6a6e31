/// Keeps the crash suspicions and marks of the quarantines of requests and of
/// parts of prompts in the shared store, so that they reach daemons that other
/// messages do not, and outlast every daemon.
///
///     auto shared =
///         quarantine_log{context, "entry-1", tracker, prompts, store};
///     shared.publish(event);            // each event of the quarantine
///     shared.apply(record);             // each record read from the topic
///     shared.tick();                    // every 50 ms or so
///
/// Suspicions and clearances are written in batches under the daemon's name, so
/// that the store keeps one batch for each daemon; running daemons read all of
/// them in order. A mark is written under the fingerprint of its request, or
/// the id of its part, and is kept until it is removed. While the store is
/// unavailable, what is to be written waits, and is written again after a
/// failure: records may be read twice. Use on one thread only.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/base/random/random.hpp"
#include "basilstream/coordination/prompt_quarantine/prompt_quarantine.hpp"
#include "basilstream/coordination/quarantine/quarantine.hpp"
#include "basilstream/coordination/record_store/record_store.hpp"
#include "basilstream/protocol/quarantine_codec/quarantine_codec.hpp"
#include "basilstream/transport/logging/logging.hpp"

namespace basilstream::daemon {

/// Dependencies of a quarantine_log; all must outlive it.
struct quarantine_log_context {
    const clock& clock_;
    const wall_clock& wall_clock_;
    random_source& random_;
    transport::logger& log_;
};

class quarantine_log {
public:
    /// `name` is the name of this daemon.
    quarantine_log(const quarantine_log_context& context, std::string name,
                   coordination::quarantine& tracker,
                   coordination::prompt_quarantine& prompts,
                   coordination::record_store& store);

    /// Queues an event to be written. Events that concern only the arbiter of
    /// isolated runs are ignored.
    auto publish(const coordination::quarantine_event& event) -> void;
    /// Queues a message of the quarantine of parts of prompts.
    auto publish(const protocol::quarantine_message& message) -> void;
    /// Writes what is queued, unless a write is in flight or a failed one is to
    /// be repeated later.
    auto tick() -> void;
    /// Sets the number of daemons. The more there are, the longer each collects
    /// what it writes, as each write ends the waiting reads of the topic.
    auto set_daemons(std::size_t count) -> void;
    /// Applies a record that this or another daemon has written.
    auto apply(const coordination::store_record& record) -> void;

private:
    // What waits to be written: a message, whose ages are relative to
    // `created_at_`, or the removal of a mark.
    struct pending_write {
        std::variant<protocol::quarantine_message,
                     coordination::quarantine_release>
            content_;
        time_point created_at_;
    };

    auto queue(pending_write write) -> void;
    // Moves the next writes that share a key to in_flight_. Returns the key.
    auto take_batch() -> std::string;
    // Returns the value of their record; absent if it removes a mark.
    [[nodiscard]] auto encode_in_flight() const -> std::optional<std::string>;
    auto on_appended(const result<coordination::append_outcome>& outcome)
        -> void;
    // Applies the removal of the record with this key.
    auto apply_removal(std::string_view key) -> void;
    auto apply_message(const protocol::quarantine_message& message,
                       duration delay, const std::string& key) -> void;

    quarantine_log_context context_;
    std::string name_;
    coordination::quarantine& quarantine_;
    coordination::prompt_quarantine& prompts_;
    coordination::record_store& store_;
    std::deque<pending_write> pending_;
    std::deque<pending_write> in_flight_;
    time_point next_append_at_{};
    duration batch_interval_;
    // How long the first message after a time without any is held back.
    duration first_delay_{0};
    // Consecutive failed appends.
    int failures_ = 0;
};

} // namespace basilstream::daemon
