/// Interface of the deployment's shared store: topics of records, and a
/// decoder for the records that are not written by daemons. Implementations
/// call the handlers on the caller's thread, after the call has returned.
///
///     store.read_newest(shared_topic::backends, [](result<record_page> page) {
///         ...
///     });
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/base/error/error.hpp"
#include "basilstream/base/name_table/name_table.hpp"
#include "basilstream/coordination/backend_directory/backend_directory.hpp"
#include "basilstream/coordination/route_table/route_table.hpp"

namespace basilstream::coordination {

/// A topic of the store.
enum class shared_topic {
    /// The operators' configuration; keyed, read-only.
    configuration,
    /// Announcements of backend servers; keyed, read-only.
    backends,
    /// Addresses of the daemons; keyed by name.
    daemons,
    /// Claims and renewals of the placement lease; keyed.
    placement_lease,
    /// Crash suspicions of each daemon, and quarantine marks of requests;
    /// keyed.
    quarantine,
    /// Software versions that services have had lately; keyed.
    software_versions,
};

inline constexpr auto shared_topic_names = name_table<shared_topic, 6>{
    {{{shared_topic::configuration, "configuration"},
      {shared_topic::backends, "backends"},
      {shared_topic::daemons, "daemons"},
      {shared_topic::placement_lease, "placement_lease"},
      {shared_topic::quarantine, "quarantine"},
      {shared_topic::software_versions, "software_versions"}}}};

/// One record. In a keyed topic, a record without a value deletes its key.
struct store_record {
    std::string key_;
    std::optional<std::string> value_;
    /// Offset in the topic; set only in records that were read.
    std::uint64_t offset_ = 0;
};

/// Result of a read: records in log order.
struct record_page {
    std::vector<store_record> records_;
    /// The offset after the last record of the topic, from which to continue.
    std::uint64_t end_ = 0;
    /// True if the requested records are no longer retained.
    bool expired_ = false;
    /// Era of the store in the answer, if it named one. The era changes each
    /// time that the store comes back from an older copy of its topics: records
    /// are lost then, and their offsets are given out again.
    std::optional<std::uint64_t> era_ = std::nullopt;
};

/// Result of an append.
struct append_outcome {
    bool appended_ = false;
    /// The record's offset if it was appended, else the topic's end offset.
    std::uint64_t offset_ = 0;
    /// Era of the store in the answer, if it named one.
    std::optional<std::uint64_t> era_ = std::nullopt;
};

/// Reads and appends records of the shared store.
class record_store {
public:
    template <class Value>
    using handler = std::function<void(result<Value>)>;

    record_store() = default;
    record_store(const record_store&) = delete;
    auto operator=(const record_store&) -> record_store& = delete;
    virtual ~record_store() = default;

    /// Reads the newest record of each key of a keyed topic.
    virtual auto read_newest(shared_topic topic, handler<record_page> done)
        -> void = 0;
    /// Reads the records from `offset` on. If there is none yet, waits up to
    /// `max_wait` for one.
    virtual auto read_from(shared_topic topic, std::uint64_t offset,
                           milliseconds max_wait, handler<record_page> done)
        -> void = 0;
    /// Appends a record if the topic ends at `expected_end`, or unconditionally
    /// without `expected_end`. After an error with run status unknown, the
    /// record may still be appended at any later time.
    virtual auto append(shared_topic topic,
                        std::optional<std::uint64_t> expected_end,
                        store_record record, handler<append_outcome> done)
        -> void = 0;
};

/// Decodes the records that operators and backend servers write.
class record_decoder {
public:
    record_decoder() = default;
    record_decoder(const record_decoder&) = delete;
    auto operator=(const record_decoder&) -> record_decoder& = delete;
    virtual ~record_decoder() = default;

    /// Returns the configuration in a record, null if the record holds
    /// something else, or an error if it cannot be decoded. Entries that cannot
    /// be decoded are left out, each with an error in `skipped`.
    [[nodiscard]] virtual auto configuration(const store_record& record,
                                             std::vector<error>& skipped) const
        -> result<std::shared_ptr<const relay_config>> = 0;
    /// Returns the server that a record announces, or an error if the record
    /// cannot be decoded.
    [[nodiscard]] virtual auto backend(const store_record& record) const
        -> result<backend_server> = 0;
};

} // namespace basilstream::coordination
