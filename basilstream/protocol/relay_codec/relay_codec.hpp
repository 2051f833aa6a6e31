/// Protobuf codec of what relaying daemons tell each other.
///
///     auto bytes = encode(relay_update{.loads_ = {{"i-7f3a", 3}}});
///     auto update = decode_relay_update(bytes);
///
/// Stateless; safe to call from several threads.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/base/error/error.hpp"
#include "basilstream/coordination/allowances/allowances.hpp"
#include "basilstream/coordination/placement_lease/placement_lease.hpp"
#include "basilstream/coordination/record_store/record_store.hpp"
#include "basilstream/coordination/server_slots/server_slots.hpp"

namespace basilstream::protocol {

/// Requests of the sender on a backend server.
struct backend_load {
    std::string backend_;
    std::uint32_t requests_ = 0;
    /// Codes of coordination::server_speeds, 0 for none: of a sample in
    /// `relay_update::loads_`, of an estimate in `relay_update::totals_`.
    std::uint32_t speed_ = 0;
};

/// Requests for a model or adapter since the sender's last update.
struct relayed_demand {
    std::string service_;
    std::string model_;
    std::string adapter_;
    std::uint32_t requests_ = 0;
    /// Those of them for which no runner was in place.
    std::uint32_t unserved_ = 0;
    /// Prompt and output tokens of the requests.
    std::uint64_t tokens_ = 0;
    /// Sum of the tokens times the weight of each request's urgency; 0 if the
    /// sender does not weight by urgency.
    std::uint64_t weighted_tokens_ = 0;
};

/// What an owner of placement did to a runner.
enum class residency_state : std::uint8_t { placed, withdrawn, coming };

struct residency_change {
    std::string backend_;
    std::string service_;
    std::string model_;
    /// Empty for the model itself.
    std::string adapter_;
    residency_state state_ = residency_state::placed;
    /// Of what is coming: when it is expected.
    milliseconds ready_in_{0};
};

/// Records of the shared store that the owner of placement has read.
struct relayed_page {
    coordination::shared_topic topic_ =
        coordination::shared_topic::configuration;
    /// The page covers the offsets from `from_` to `end_`; records that change
    /// nothing are left out.
    std::uint64_t from_ = 0;
    std::uint64_t end_ = 0;
    std::vector<coordination::store_record> records_;
    /// Set if there is news that is too large to be passed on, even though
    /// records are compressed: each daemon should read it for itself, now.
    bool read_now_ = false;
    /// Era of the store in which the page was read, if the store names eras.
    std::optional<std::uint64_t> era_ = std::nullopt;
};

/// Demand for a model of a service, with its adapters.
struct model_demand {
    std::string service_;
    std::string model_;
    std::uint32_t tokens_per_second_ = 0;
};

/// Latest statement of a backend server about a number per second: its rate
/// limit, or the rejections that it bears.
struct relayed_limit {
    std::string server_;
    /// Start time of the server's process in Unix milliseconds; 0 if unknown.
    std::int64_t started_at_ = 0;
    /// For all daemons together; empty if the server no longer states one.
    std::optional<double> per_second_;
    /// Time since the statement.
    milliseconds age_{0};
};

/// Asks the owner of a server's limit for a permit to send one request.
struct permit_request {
    /// Unique among the requests of the sender's process.
    std::uint64_t id_ = 0;
    std::string server_;
    milliseconds max_wait_{0};
    /// Set if the request also needs a slot on the server: the rejections per
    /// second that this bears.
    std::optional<double> bearable_;
    /// Longest time for which the request holds its slot.
    milliseconds lifetime_{0};
};

/// Answer to the permit request `id_` of the receiver.
struct permit_answer {
    std::uint64_t id_ = 0;
    bool granted_ = false;
    /// Time until the request may be sent or, if not granted, until a permit
    /// may be available.
    milliseconds wait_{0};
    /// Whether the sender must give back a slot.
    bool holds_slot_ = false;
};

/// Gives back the slot that the permit request `id_` of the sender got.
struct slot_return {
    std::uint64_t id_ = 0;
    std::string server_;
    coordination::slot_outcome outcome_ = coordination::slot_outcome::ended;
};

/// Software version at which the stream of a request began.
struct stream_origin {
    std::string request_;
    std::string version_;
};

/// Asks for the version at which a stream of the service began.
struct origin_query {
    /// Unique among the queries of the sender's process.
    std::uint64_t id_ = 0;
    std::string request_;
    std::string service_;
};

/// Answer to the query `id_` of the receiver.
struct origin_answer {
    std::uint64_t id_ = 0;
    /// Empty if the version is not known.
    std::optional<std::string> version_;
    /// Set if the sender was not told of the stream, and the version is the
    /// only one that it has seen.
    bool inferred_ = false;
    /// Set if the sender may not know the newest servers.
    bool outdated_ = false;
    /// Set if the sender was not told of the stream and has seen several
    /// versions. Daemons of earlier builds never set it.
    bool several_seen_ = false;
};

/// Offer of a daemon to take requests that another one cannot deliver.
struct forwarding_offer {
    /// "IP:PORT" of its listener.
    std::string address_;
    std::string key_;
    /// Services whose servers it does not reach.
    std::vector<std::string> unreached_;
    std::uint32_t in_progress_ = 0;
};

/// A message between daemons; parts that are empty say nothing, but for
/// `loads_` if `has_loads_`, which then replaces the sender's former ones.
struct relay_update {
    bool has_loads_ = false;
    std::vector<backend_load> loads_;
    std::vector<relayed_demand> demands_;
    std::vector<residency_change> changes_;
    /// Set while the sender holds the placement lease.
    std::optional<std::uint64_t> lease_epoch_;
    /// How long the sender may go on without a renewal; zero says that it has
    /// stopped to order.
    milliseconds lease_left_{0};
    /// Set in what the owner of placement passes on in large deployments: the
    /// requests of all daemons, and the daemons that it has heard lately.
    bool has_totals_ = false;
    std::vector<backend_load> totals_;
    /// How much a full server lengthens the time between events, in percent;
    /// only with totals, 0 if not known.
    std::uint32_t load_effect_ = 0;
    /// Demand for each model, from all daemons; only with totals.
    std::vector<model_demand> model_demands_;
    std::vector<std::string> heard_;
    std::vector<relayed_page> pages_;
    /// The lease's log ends here after the sender's last entry.
    std::uint64_t lease_end_ = 0;
    std::vector<relayed_limit> limits_;
    std::vector<permit_request> permit_requests_;
    std::vector<permit_answer> permit_answers_;
    std::vector<relayed_limit> bearable_rejections_;
    std::vector<slot_return> slot_returns_;
    std::vector<stream_origin> stream_origins_;
    std::vector<origin_query> origin_queries_;
    std::vector<origin_answer> origin_answers_;
    /// Encoded by the quarantine codec.
    std::vector<std::string> quarantine_messages_;
    bool asks_for_forwarding_ = false;
    std::optional<forwarding_offer> forwarding_offer_;
    /// What the sender has spent of the allowances of organisations, and their
    /// levels; only where organisations have limits.
    std::optional<coordination::allowance_report> allowance_report_;
    std::optional<std::vector<coordination::allowance_level>> allowance_levels_;
};

[[nodiscard]] auto encode(const relay_update& update) -> std::string;
/// Errors: `invalid_argument` at step peer.
[[nodiscard]] auto decode_relay_update(std::string_view bytes)
    -> result<relay_update>;

[[nodiscard]] auto encode(const coordination::lease_entry& entry)
    -> std::string;
/// Errors: `invalid_argument` at step log.
[[nodiscard]] auto decode_lease_entry(std::string_view bytes)
    -> result<coordination::lease_entry>;

} // namespace basilstream::protocol
