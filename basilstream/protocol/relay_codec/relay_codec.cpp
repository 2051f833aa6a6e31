#include "basilstream/protocol/relay_codec/relay_codec.hpp"

#include <algorithm>
#include <cmath>

#include <zlib.h>

#include "basilstream/protocol/generated/relay.pb.h"

namespace basilstream::protocol {
namespace {

auto invalid(step at, const char* detail) -> tl::unexpected<error> {
    return tl::unexpected(error{error_code::invalid_argument, at, "", detail});
}

template <class Message>
auto parse(std::string_view bytes, Message& out) -> bool {
    return out.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
}

// Records above this size are compressed. Those of a page resemble each other
// and shrink to about a fifth.
constexpr auto min_packed_bytes = std::size_t{2'000};
// Bounds what a daemon unpacks, whatever a message claims.
constexpr auto max_unpacked_bytes = std::size_t{8} << 20U;

// Appends the original size (4 bytes, little-endian) to the compressed bytes.
auto pack(const std::string& bytes) -> std::string {
    auto size = ::compressBound(bytes.size());
    auto packed = std::string(size, '\0');
    if (::compress2(reinterpret_cast<Bytef*>(packed.data()), &size,
                    reinterpret_cast<const Bytef*>(bytes.data()), bytes.size(),
                    Z_BEST_SPEED) != Z_OK) {
        return {};
    }
    packed.resize(size);
    for (auto shift = 0U; shift < 32U; shift += 8U) {
        packed.push_back(static_cast<char>((bytes.size() >> shift) & 0xFFU));
    }
    return packed;
}

auto unpack(std::string_view packed) -> std::optional<std::string> {
    constexpr auto size_bytes = std::size_t{4};
    if (packed.size() < size_bytes) {
        return std::nullopt;
    }
    auto size = std::size_t{0};
    for (const auto byte : {3U, 2U, 1U, 0U}) {
        size = (size << 8U) | static_cast<unsigned char>(
                                  packed[packed.size() - size_bytes + byte]);
    }
    packed.remove_suffix(size_bytes);
    if (size > max_unpacked_bytes) {
        return std::nullopt;
    }
    auto bytes = std::string(size, '\0');
    auto written = static_cast<uLongf>(size);
    const auto status = ::uncompress(
        reinterpret_cast<Bytef*>(bytes.data()), &written,
        reinterpret_cast<const Bytef*>(packed.data()), packed.size());
    return status == Z_OK && written == size ? std::optional{std::move(bytes)}
                                             : std::nullopt;
}

auto to_wire(const relayed_page& page, wire::read_page& out) -> void {
    out.set_topic(static_cast<std::uint32_t>(page.topic_));
    out.set_from(page.from_);
    out.set_end(page.end_);
    out.set_read_now(page.read_now_);
    if (page.era_) {
        out.set_era(*page.era_);
    }
    for (const auto& record : page.records_) {
        auto& copy = *out.add_records();
        copy.set_key(record.key_);
        copy.set_offset(record.offset_);
        copy.set_has_value(record.value_.has_value());
        copy.set_value(record.value_.value_or(""));
    }
    if (page.read_now_ || out.ByteSizeLong() < min_packed_bytes) {
        return;
    }
    if (auto packed = pack(out.SerializeAsString()); !packed.empty()) {
        out.clear_records();
        out.set_packed_records(std::move(packed));
        out.set_read_now(true);
    }
}

auto from_wire(const wire::read_page& in) -> relayed_page {
    auto page =
        relayed_page{static_cast<coordination::shared_topic>(in.topic()),
                     in.from(),
                     in.end(),
                     {},
                     in.read_now(),
                     in.has_era() ? std::optional{in.era()} : std::nullopt};
    auto unpacked = wire::read_page{};
    if (!in.packed_records().empty()) {
        // The daemon reads for itself if they cannot be unpacked.
        const auto bytes = unpack(in.packed_records());
        if (!bytes || !parse(*bytes, unpacked)) {
            return page;
        }
        page.read_now_ = false;
    }
    const auto& records = in.packed_records().empty() ? in : unpacked;
    for (const auto& record : records.records()) {
        page.records_.push_back(
            {record.key(),
             record.has_value() ? std::optional{record.value()} : std::nullopt,
             record.offset()});
    }
    return page;
}

auto to_milliseconds(milliseconds value) -> std::uint32_t {
    return static_cast<std::uint32_t>(std::max(value, milliseconds{0}).count());
}

auto to_wire(const relayed_limit& limit, wire::named_limit& out) -> void {
    out.set_server(limit.server_);
    out.set_started_at_ms(limit.started_at_);
    out.set_has_limit(limit.per_second_.has_value());
    out.set_per_second(limit.per_second_.value_or(0));
    out.set_age_ms(to_milliseconds(limit.age_));
}

auto is_rate(double value) -> bool {
    return std::isfinite(value) && value >= 0;
}

// Returns whether the limit is valid.
auto append_limit(const wire::named_limit& limit,
                  std::vector<relayed_limit>& limits) -> bool {
    if (limit.has_limit() && !is_rate(limit.per_second())) {
        return false;
    }
    limits.push_back(
        {limit.server(), limit.started_at_ms(),
         limit.has_limit() ? std::optional{limit.per_second()} : std::nullopt,
         milliseconds{limit.age_ms()}});
    return true;
}

auto permits_to_wire(const relay_update& update, wire::relay_update& out)
    -> void {
    for (const auto& limit : update.limits_) {
        to_wire(limit, *out.add_named_limits());
    }
    for (const auto& limit : update.bearable_rejections_) {
        to_wire(limit, *out.add_bearable_rejections());
    }
    for (const auto& given_back : update.slot_returns_) {
        auto& copy = *out.add_slot_returns();
        copy.set_id(given_back.id_);
        copy.set_server(given_back.server_);
        copy.set_outcome(static_cast<std::uint32_t>(given_back.outcome_));
    }
    for (const auto& request : update.permit_requests_) {
        auto& copy = *out.add_permit_requests();
        copy.set_id(request.id_);
        copy.set_server(request.server_);
        copy.set_max_wait_ms(to_milliseconds(request.max_wait_));
        copy.set_needs_slot(request.bearable_.has_value());
        copy.set_bearable_per_second(request.bearable_.value_or(0));
        copy.set_lifetime_ms(to_milliseconds(request.lifetime_));
    }
    for (const auto& answer : update.permit_answers_) {
        auto& copy = *out.add_permit_answers();
        copy.set_id(answer.id_);
        copy.set_granted(answer.granted_);
        copy.set_wait_ms(to_milliseconds(answer.wait_));
        copy.set_holds_slot(answer.holds_slot_);
    }
}

// Returns whether all numbers are valid.
auto permits_from_wire(const wire::relay_update& in, relay_update& update)
    -> bool {
    for (const auto& limit : in.named_limits()) {
        if (!append_limit(limit, update.limits_)) {
            return false;
        }
    }
    for (const auto& limit : in.bearable_rejections()) {
        if (!append_limit(limit, update.bearable_rejections_)) {
            return false;
        }
    }
    for (const auto& request : in.permit_requests()) {
        if (request.needs_slot() && !is_rate(request.bearable_per_second())) {
            return false;
        }
        update.permit_requests_.push_back(
            {request.id(), request.server(),
             milliseconds{request.max_wait_ms()},
             request.needs_slot() ? std::optional{request.bearable_per_second()}
                                  : std::nullopt,
             milliseconds{request.lifetime_ms()}});
    }
    for (const auto& answer : in.permit_answers()) {
        update.permit_answers_.push_back({answer.id(), answer.granted(),
                                          milliseconds{answer.wait_ms()},
                                          answer.holds_slot()});
    }
    for (const auto& given_back : in.slot_returns()) {
        if (given_back.outcome() >=
            coordination::slot_outcome_names.rows_.size()) {
            return false;
        }
        update.slot_returns_.push_back(
            {given_back.id(), given_back.server(),
             static_cast<coordination::slot_outcome>(given_back.outcome())});
    }
    return true;
}

auto origins_to_wire(const relay_update& update, wire::relay_update& out)
    -> void {
    for (const auto& origin : update.stream_origins_) {
        auto& copy = *out.add_stream_origins();
        copy.set_request(origin.request_);
        copy.set_version(origin.version_);
    }
    for (const auto& query : update.origin_queries_) {
        auto& copy = *out.add_origin_queries();
        copy.set_id(query.id_);
        copy.set_request(query.request_);
        copy.set_service(query.service_);
    }
    for (const auto& answer : update.origin_answers_) {
        auto& copy = *out.add_origin_answers();
        copy.set_id(answer.id_);
        copy.set_known(answer.version_.has_value());
        copy.set_version(answer.version_.value_or(""));
        copy.set_inferred(answer.inferred_);
        copy.set_outdated(answer.outdated_);
        copy.set_several_seen(answer.several_seen_);
    }
}

auto origins_from_wire(const wire::relay_update& in, relay_update& update)
    -> void {
    for (const auto& origin : in.stream_origins()) {
        update.stream_origins_.push_back({origin.request(), origin.version()});
    }
    for (const auto& query : in.origin_queries()) {
        update.origin_queries_.push_back(
            {query.id(), query.request(), query.service()});
    }
    for (const auto& answer : in.origin_answers()) {
        update.origin_answers_.push_back(
            {answer.id(),
             answer.known() ? std::optional{answer.version()} : std::nullopt,
             answer.inferred(), answer.outdated(), answer.several_seen()});
    }
}

auto quarantine_to_wire(const relay_update& update, wire::relay_update& out)
    -> void {
    for (const auto& message : update.quarantine_messages_) {
        out.add_quarantine_messages(message);
    }
}

auto quarantine_from_wire(const wire::relay_update& in, relay_update& update)
    -> void {
    update.quarantine_messages_.assign(in.quarantine_messages().begin(),
                                       in.quarantine_messages().end());
}

auto forwarding_to_wire(const relay_update& update, wire::relay_update& out)
    -> void {
    out.set_asks_for_forwarding(update.asks_for_forwarding_);
    if (const auto& offer = update.forwarding_offer_) {
        auto& copy = *out.mutable_forwarding_offer();
        copy.set_address(offer->address_);
        copy.set_key(offer->key_);
        copy.set_in_progress(offer->in_progress_);
        for (const auto& service : offer->unreached_) {
            copy.add_unreached(service);
        }
    }
}

auto forwarding_from_wire(const wire::relay_update& in, relay_update& update)
    -> void {
    update.asks_for_forwarding_ = in.asks_for_forwarding();
    if (in.has_forwarding_offer()) {
        const auto& offer = in.forwarding_offer();
        update.forwarding_offer_ = {
            offer.address(),
            offer.key(),
            {offer.unreached().begin(), offer.unreached().end()},
            offer.in_progress()};
    }
}

// Units on the wire are whole numbers.
auto to_units(double value) -> std::int64_t {
    constexpr auto largest = 1e15;
    return std::llround(std::clamp(value, -largest, largest));
}

auto allowances_to_wire(const relay_update& update, wire::relay_update& out)
    -> void {
    if (const auto& report = update.allowance_report_) {
        auto& copy = *out.mutable_allowance_report();
        copy.set_run(report->run_);
        for (const auto& spending : report->spending_) {
            auto& entry = *copy.add_spending();
            entry.set_organisation(spending.organisation_);
            entry.set_total(to_units(spending.total_));
            entry.set_unreflected(to_units(spending.unreflected_));
            entry.set_refused(static_cast<std::uint64_t>(
                std::max<std::int64_t>(to_units(spending.refused_), 0)));
        }
    }
    if (const auto& levels = update.allowance_levels_) {
        auto& copy = *out.mutable_allowance_levels();
        for (const auto& level : *levels) {
            auto& entry = *copy.add_levels();
            entry.set_organisation(level.organisation_);
            entry.set_units(to_units(level.units_));
            entry.set_demand(static_cast<std::uint64_t>(
                std::max<std::int64_t>(to_units(level.demand_), 0)));
        }
    }
}

auto allowances_from_wire(const wire::relay_update& in, relay_update& update)
    -> void {
    if (in.has_allowance_report()) {
        auto& report = update.allowance_report_.emplace();
        report.run_ = in.allowance_report().run();
        for (const auto& entry : in.allowance_report().spending()) {
            report.spending_.push_back(
                {entry.organisation(), static_cast<double>(entry.total()),
                 static_cast<double>(entry.unreflected()),
                 static_cast<double>(entry.refused())});
        }
    }
    if (in.has_allowance_levels()) {
        auto& levels = update.allowance_levels_.emplace();
        for (const auto& entry : in.allowance_levels().levels()) {
            levels.push_back({entry.organisation(),
                              static_cast<double>(entry.units()),
                              static_cast<double>(entry.demand())});
        }
    }
}

auto known_topic(std::uint32_t value) -> bool {
    return value <=
           static_cast<std::uint32_t>(coordination::shared_topic::quarantine);
}

auto known_state(std::uint32_t value) -> bool {
    return value <= static_cast<std::uint32_t>(residency_state::coming);
}

} // namespace

auto encode(const relay_update& update) -> std::string {
    auto message = wire::relay_update{};
    message.set_has_loads(update.has_loads_);
    message.set_has_totals(update.has_totals_);
    for (const auto& total : update.totals_) {
        auto& out = *message.add_totals();
        out.set_backend(total.backend_);
        out.set_requests(total.requests_);
        out.set_speed(total.speed_);
    }
    message.set_load_effect(update.load_effect_);
    for (const auto& demand : update.model_demands_) {
        auto& out = *message.add_model_demands();
        out.set_service(demand.service_);
        out.set_model(demand.model_);
        out.set_tokens_per_second(demand.tokens_per_second_);
    }
    for (const auto& page : update.pages_) {
        to_wire(page, *message.add_pages());
    }
    for (const auto& name : update.heard_) {
        message.add_heard(name);
    }
    for (const auto& load : update.loads_) {
        auto& out = *message.add_loads();
        out.set_backend(load.backend_);
        out.set_requests(load.requests_);
        out.set_speed(load.speed_);
    }
    for (const auto& demand : update.demands_) {
        auto& out = *message.add_demands();
        out.set_service(demand.service_);
        out.set_model(demand.model_);
        out.set_adapter(demand.adapter_);
        out.set_requests(demand.requests_);
        out.set_unserved(demand.unserved_);
        out.set_tokens(demand.tokens_);
        out.set_weighted_tokens(demand.weighted_tokens_);
    }
    for (const auto& change : update.changes_) {
        auto& out = *message.add_changes();
        out.set_backend(change.backend_);
        out.set_service(change.service_);
        out.set_model(change.model_);
        out.set_adapter(change.adapter_);
        out.set_state(static_cast<std::uint32_t>(change.state_));
        out.set_ready_in_ms(static_cast<std::uint32_t>(
            std::max(change.ready_in_, milliseconds{0}).count()));
    }
    // Offsets begin at 0, which stands for no lease on the wire.
    message.set_lease_epoch(update.lease_epoch_ ? *update.lease_epoch_ + 1 : 0);
    message.set_lease_left_ms(static_cast<std::uint32_t>(
        std::max(update.lease_left_, milliseconds{0}).count()));
    message.set_lease_end(update.lease_end_);
    permits_to_wire(update, message);
    origins_to_wire(update, message);
    quarantine_to_wire(update, message);
    forwarding_to_wire(update, message);
    allowances_to_wire(update, message);
    return message.SerializeAsString();
}

auto decode_relay_update(std::string_view bytes) -> result<relay_update> {
    auto message = wire::relay_update{};
    if (!parse(bytes, message)) {
        return invalid(step::peer, "a relay update cannot be read");
    }
    auto update = relay_update{};
    update.has_loads_ = message.has_loads();
    update.has_totals_ = message.has_totals();
    for (const auto& in : message.totals()) {
        update.totals_.push_back({in.backend(), in.requests(), in.speed()});
    }
    update.load_effect_ = message.load_effect();
    for (const auto& in : message.model_demands()) {
        update.model_demands_.push_back(
            {in.service(), in.model(), in.tokens_per_second()});
    }
    for (const auto& in : message.pages()) {
        if (!known_topic(in.topic())) {
            return invalid(step::peer, "unknown topic");
        }
        update.pages_.push_back(from_wire(in));
    }
    update.heard_.assign(message.heard().begin(), message.heard().end());
    for (const auto& in : message.loads()) {
        update.loads_.push_back({in.backend(), in.requests(), in.speed()});
    }
    for (const auto& in : message.demands()) {
        update.demands_.push_back({in.service(), in.model(), in.adapter(),
                                   in.requests(), in.unserved(), in.tokens(),
                                   in.weighted_tokens()});
    }
    for (const auto& in : message.changes()) {
        if (!known_state(in.state())) {
            return invalid(step::peer, "unknown residency state");
        }
        update.changes_.push_back({in.backend(), in.service(), in.model(),
                                   in.adapter(),
                                   static_cast<residency_state>(in.state()),
                                   milliseconds{in.ready_in_ms()}});
    }
    origins_from_wire(message, update);
    quarantine_from_wire(message, update);
    forwarding_from_wire(message, update);
    allowances_from_wire(message, update);
    if (!permits_from_wire(message, update)) {
        return invalid(step::peer, "invalid rate limit");
    }
    if (message.lease_epoch() > 0) {
        update.lease_epoch_ = message.lease_epoch() - 1;
        update.lease_left_ = milliseconds{message.lease_left_ms()};
        update.lease_end_ = message.lease_end();
    }
    return update;
}

namespace {

// Number of the era's field in a lease entry; see relay.proto.
constexpr auto lease_era_field = 4;

auto era_of(const wire::lease_entry& message) -> std::optional<std::uint64_t> {
    const auto& fields = message.GetReflection()->GetUnknownFields(message);
    for (auto index = 0; index < fields.field_count(); ++index) {
        const auto& field = fields.field(index);
        if (field.number() == lease_era_field &&
            field.type() == google::protobuf::UnknownField::TYPE_VARINT &&
            field.varint() > 0) {
            return field.varint() - 1;
        }
    }
    return std::nullopt;
}

} // namespace

auto encode(const coordination::lease_entry& entry) -> std::string {
    auto message = wire::lease_entry{};
    message.set_kind(static_cast<std::uint32_t>(entry.kind_));
    message.set_holder(entry.holder_);
    message.set_epoch(entry.epoch_);
    if (entry.era_) {
        message.GetReflection()->MutableUnknownFields(&message)->AddVarint(
            lease_era_field, *entry.era_ + 1);
    }
    return message.SerializeAsString();
}

auto decode_lease_entry(std::string_view bytes)
    -> result<coordination::lease_entry> {
    constexpr auto last =
        static_cast<std::uint32_t>(coordination::lease_entry_kind::release);
    auto message = wire::lease_entry{};
    if (!parse(bytes, message) || message.kind() > last ||
        message.holder().empty()) {
        return invalid(step::log, "a lease entry cannot be read");
    }
    return coordination::lease_entry{
        static_cast<coordination::lease_entry_kind>(message.kind()),
        message.holder(), message.epoch(), era_of(message)};
}

} // namespace basilstream::protocol
