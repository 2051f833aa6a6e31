/// The engine's, the plain services' and the VM list's HTTP interfaces as
/// typed values (docs/protocols.md).
///
///     auto reader = event_reader{};
///     reader.feed(bytes, [](const engine_event& event) { ...; return true; });
///     auto report = parse_report(body, "127.0.0.1:9000");
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "basilstream/base/error/error.hpp"
#include "basilstream/base/name_table/name_table.hpp"

namespace basilstream::protocol {

/// A generation asked of an engine.
struct engine_completion {
    std::string_view model_;
    std::string_view adapter_;
    std::string_view version_;
    std::string_view prompt_;
    std::uint64_t max_tokens_ = 0;
    int priority_ = 0;
    std::string_view request_id_;
    std::uint32_t attempt_ = 0;
    std::uint64_t resume_position_ = 0;
};

/// Returns the body of `POST /v1/completions`.
[[nodiscard]] auto completion_body(const engine_completion& completion)
    -> std::string;

/// Returns the body of `POST /v1/cancel`.
[[nodiscard]] auto cancel_body(std::string_view request_id,
                               std::uint32_t attempt) -> std::string;

/// One event of an engine's stream. Views into the reader's buffer.
struct engine_event {
    /// REQUEST/ATTEMPT/POSITION.
    std::string_view id_;
    /// The token's text as the inside of a JSON string, escapes and all.
    std::string_view escaped_text_;
    /// `stop`, `length` or `cancelled` at the end; else empty.
    std::string_view finish_;
};

/// Splits a stream of server-sent events. Holds at most one event's bytes; an
/// event larger than the limit, or one that is no event of an engine, ends the
/// reading.
class event_reader {
public:
    static constexpr auto max_event_bytes_ = std::size_t{64} << 10U;

    /// Calls `consume` for each whole event. Returns false when the bytes are
    /// not an engine's events or `consume` returned false; nothing may be fed
    /// after that.
    [[nodiscard]] auto
    feed(std::string_view bytes,
         const std::function<bool(const engine_event&)>& consume) -> bool;

private:
    auto take_line(std::string_view line,
                   const std::function<bool(const engine_event&)>& consume)
        -> bool;

    std::string partial_;
    std::string id_;
    std::string data_;
    std::string decoded_;
};

/// A resident as an engine reports it.
struct reported_model {
    std::string model_;
    std::string adapter_;
    std::string version_;
    std::uint64_t bytes_ = 0;
    std::string order_id_;
    /// `loading`, `ready` or `failed`.
    std::string state_;
};

/// A finished order as an engine reports it.
struct reported_finish {
    std::string order_id_;
    /// `done`, `failed` or `refused`.
    std::string outcome_;
    std::string detail_;
};

/// An engine's load report.
struct engine_report {
    std::string boot_id_;
    std::uint64_t sequence_ = 0;
    std::uint64_t memory_bytes_ = 0;
    std::uint64_t used_bytes_ = 0;
    bool leaving_ = false;
    int running_ = 0;
    int waiting_ = 0;
    int slots_ = 1;
    std::vector<reported_model> residents_;
    std::vector<reported_finish> finished_;
};

/// Parses a load report; `backend_error` at step runner when malformed.
[[nodiscard]] auto parse_report(std::string_view body, std::string_view peer)
    -> result<engine_report>;

/// An event of an engine's prefix cache.
struct engine_cache_event {
    std::uint64_t sequence_ = 0;
    bool stored_ = true;
    std::string model_;
    std::uint64_t prefix_hash_ = 0;
};

/// Cache events and the sequence to ask for next.
struct engine_cache_events {
    std::uint64_t next_ = 0;
    std::vector<engine_cache_event> events_;
};

/// Parses cache events; `backend_error` at step runner when malformed.
[[nodiscard]] auto parse_cache_events(std::string_view body,
                                      std::string_view peer)
    -> result<engine_cache_events>;

/// An order in the engine's terms.
struct engine_order {
    std::string order_id_;
    std::uint64_t fencing_ = 0;
    std::string shard_;
    std::string_view action_;
    std::string model_;
    std::string adapter_;
    std::string version_;
    std::uint64_t bytes_ = 0;
    std::string_view role_;
};

/// Returns the body of `POST /v1/orders`.
[[nodiscard]] auto order_body(const engine_order& order) -> std::string;

/// What a VM of the platform's list is for.
enum class vm_kind { runner, service, entry };

/// Names of VM kinds, as the platform spells them.
inline constexpr auto vm_kind_names =
    name_table<vm_kind, 3>{{{{vm_kind::runner, "runner"},
                             {vm_kind::service, "service"},
                             {vm_kind::entry, "entry"}}}};

/// A VM of the platform's list.
struct listed_vm {
    std::string name_;
    /// "IP:PORT".
    std::string address_;
    /// "IP:PORT" for peers; entry VMs only.
    std::string peer_address_;
    /// "organisation/name"; service VMs only.
    std::string service_;
    vm_kind kind_ = vm_kind::runner;
    std::string zone_;
    bool leaving_ = false;
    std::uint64_t memory_bytes_ = 0;
};

/// Parses the VM list; `backend_error` at step vm_list when malformed.
[[nodiscard]] auto parse_vm_list(std::string_view body, std::string_view peer)
    -> result<std::vector<listed_vm>>;

} // namespace basilstream::protocol
