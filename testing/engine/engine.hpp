/// Logic of the stand-in model engine, without I/O: continuous batching,
/// slots, memory, a limited prefix cache, orders and lagging reports. Events go
/// in as calls at the injected clock's time; tokens come out of `advance`.
///
///     auto model = engine{settings, time, random};
///     model.order({.order_id_ = "1", .action_ = order_action::load_model,
///                  .model_ = "org/m", .version_ = "v1", .bytes_ = 10});
///     model.load_ended("1", true);
///     model.submit({.model_ = "org/m", .prompt_ = "Hi", .request_id_ = "r"});
///     time.advance(*model.next_due() - time.now());
///     for (const auto& event : model.advance()) { ... }
#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/base/name_table/name_table.hpp"
#include "basilstream/base/random/random.hpp"
#include "testing/tokens/tokens.hpp"

namespace basilstream::testing {

/// Constants of one engine.
struct engine_settings {
    std::string boot_id_ = "boot";
    std::uint64_t memory_bytes_ = 80'000'000'000;
    /// Sequences that generate at the same time, and those that may wait.
    std::uint64_t slots_ = 32;
    std::uint64_t queue_ = 64;
    /// Whether orders with an old fencing number are refused.
    bool checks_fencing_ = true;
    /// One batch step takes base + per_sequence * (sequences in the batch).
    duration step_base_ = milliseconds{8};
    duration step_per_sequence_ = std::chrono::microseconds{200};
    /// Time to read one byte of a prompt that is not in the prefix cache.
    duration prefill_per_byte_ = std::chrono::microseconds{10};
    std::uint64_t cache_entries_ = 64;
    duration report_lag_ = milliseconds{0};
    duration cache_event_lag_ = milliseconds{0};
    /// Share of cache events that are never published.
    double cache_event_loss_ = 0.0;
};

/// A request for a completion, as the engine's API has it.
struct completion_request {
    std::string model_ = {};
    std::string adapter_ = {};
    /// Empty: any version that is ready.
    std::string version_ = {};
    std::string prompt_ = {};
    std::uint64_t max_tokens_ = 16;
    std::int64_t priority_ = 0;
    std::string request_id_ = {};
    std::uint64_t attempt_ = 0;
    std::uint64_t resume_position_ = 0;
};

enum class submit_outcome { accepted, not_resident, no_slot, leaving };

/// Answer to `submit`; `sequence_` names the generation when accepted.
struct submit_answer {
    submit_outcome outcome_ = submit_outcome::accepted;
    std::uint64_t sequence_ = 0;
};

enum class finish_reason { stop, length, cancelled };

inline constexpr auto finish_reason_names =
    name_table<finish_reason, 3>{{{{finish_reason::stop, "stop"},
                                   {finish_reason::length, "length"},
                                   {finish_reason::cancelled, "cancelled"}}}};

/// One token, or the end of a generation (then `text_` is empty).
struct generation_event {
    std::uint64_t sequence_ = 0;
    std::uint64_t position_ = 0;
    std::string text_ = {};
    std::optional<finish_reason> finish_ = {};
};

enum class order_action {
    load_model,
    unload_model,
    load_adapter,
    unload_adapter,
    set_role,
};

inline constexpr auto order_action_names = name_table<order_action, 5>{
    {{{order_action::load_model, "load_model"},
      {order_action::unload_model, "unload_model"},
      {order_action::load_adapter, "load_adapter"},
      {order_action::unload_adapter, "unload_adapter"},
      {order_action::set_role, "set_role"}}}};

/// An order as the engine's API has it.
struct engine_order {
    std::string order_id_ = {};
    std::uint64_t fencing_ = 0;
    order_action action_ = order_action::load_model;
    std::string model_ = {};
    std::string adapter_ = {};
    std::string version_ = {};
    std::uint64_t bytes_ = 0;
    std::string role_ = {};
};

enum class order_answer { accepted, stale_fencing, insufficient_memory };

enum class resident_state { loading, ready, failed };

inline constexpr auto resident_state_names =
    name_table<resident_state, 3>{{{{resident_state::loading, "loading"},
                                    {resident_state::ready, "ready"},
                                    {resident_state::failed, "failed"}}}};

/// A model (empty adapter) or an adapter that takes memory.
struct resident {
    std::string model_ = {};
    std::string adapter_ = {};
    std::string version_ = {};
    std::uint64_t bytes_ = 0;
    std::string order_id_ = {};
    resident_state state_ = resident_state::loading;
    /// Takes no new sequences and goes once the running ones have ended.
    std::vector<std::string> unload_orders_ = {};
    /// Further orders that asked for the same load.
    std::vector<std::string> joined_orders_ = {};
};

struct finished_order {
    std::string order_id_ = {};
    std::string outcome_ = {};
    std::string detail_ = {};
};

/// The load report; its values may be older than the call.
struct engine_report {
    std::uint64_t sequence_ = 0;
    std::uint64_t used_bytes_ = 0;
    bool leaving_ = false;
    std::string role_ = "mixed";
    std::uint64_t running_ = 0;
    std::uint64_t waiting_ = 0;
    double token_ms_ = 0;
    std::uint64_t highest_fencing_ = 0;
    std::vector<resident> residents_ = {};
    std::deque<finished_order> finished_orders_ = {};
};

struct cache_event {
    std::uint64_t sequence_ = 0;
    bool stored_ = true;
    std::string model_ = {};
    std::string prefix_hash_ = {};
};

/// Published cache events and the number to ask from next time.
struct cache_event_page {
    std::uint64_t next_ = 0;
    std::vector<cache_event> events_ = {};
};

/// What really ran for one attempt.
struct generation_record {
    std::string request_id_ = {};
    std::uint64_t attempt_ = 0;
    std::string model_ = {};
    std::uint64_t first_position_ = 0;
    std::uint64_t tokens_ = 0;
    bool started_ = false;
    std::optional<finish_reason> finish_ = {};
};

/// Everything that a test needs to prove what the engine did.
struct engine_books {
    std::vector<generation_record> generations_ = {};
    std::vector<engine_order> orders_ = {};
    std::uint64_t peak_used_bytes_ = 0;
    std::uint64_t memory_refusals_ = 0;
    std::uint64_t fencing_refusals_ = 0;
    std::uint64_t not_resident_refusals_ = 0;
    std::uint64_t loads_ = 0;
    std::uint64_t unloads_ = 0;
    std::uint64_t cache_hits_ = 0;
};

/// Returns the name of the cacheable prefix of `prompt`: XXH64 with seed 0 of
/// its first `prefix_bytes` bytes, as 16 hexadecimal digits.
inline constexpr std::size_t prefix_bytes = 256;
[[nodiscard]] auto prefix_hash(std::string_view prompt) -> std::string;

/// The engine. Not safe for concurrent use.
class engine {
public:
    engine(engine_settings settings, const clock& time, random_source& random);

    /// Takes a request into the batch or the queue, ordered by priority (the
    /// higher first), then arrival.
    auto submit(const completion_request& request) -> submit_answer;

    /// Ends the generation; its `cancelled` event comes with the next
    /// `advance`. Returns false when it is not running or waiting.
    auto cancel(const std::string& request_id, std::uint64_t attempt) -> bool;

    /// Takes an order. A known order id is accepted again without effect.
    auto order(const engine_order& wanted) -> order_answer;

    /// Takes the loads that were accepted since the last call; the caller
    /// fetches the weights and reports each by `load_ended`.
    auto take_loads() -> std::vector<engine_order>;
    auto load_ended(const std::string& order_id, bool loaded) -> void;

    /// Runs the batch steps that are due and returns their events in order.
    auto advance() -> std::vector<generation_event>;

    /// Returns when `advance` next has something to do; nothing when idle.
    [[nodiscard]] auto next_due() const -> std::optional<time_point>;

    /// Returns the report as it was `report_lag_` ago. A report of the past is
    /// as fine-grained as the calls to `advance` and `report`.
    auto report() -> engine_report;
    [[nodiscard]] auto cache_events(std::uint64_t from) const
        -> cache_event_page;

    /// Returns the KV cache of a prefix, or nothing when it is not cached.
    auto export_kv(const std::string& model, const std::string& hash)
        -> std::optional<std::string>;
    auto import_kv(const std::string& model, const std::string& hash) -> void;

    auto set_leaving(bool leaving) -> void { leaving_ = leaving; }
    auto set_report_lag(duration lag) -> void { settings_.report_lag_ = lag; }
    auto set_checks_fencing(bool checks) -> void {
        settings_.checks_fencing_ = checks;
    }
    /// Makes every later batch step `factor` times as long.
    auto set_slowdown(double factor) -> void { slowdown_ = factor; }

    [[nodiscard]] auto settings() const -> const engine_settings& {
        return settings_;
    }
    [[nodiscard]] auto highest_fencing() const -> std::uint64_t {
        return highest_fencing_;
    }
    [[nodiscard]] auto books() const -> const engine_books& { return books_; }

private:
    struct sequence {
        std::uint64_t id_ = 0;
        completion_request request_ = {};
        token_stream text_;
        std::uint64_t position_ = 0;
        std::uint64_t end_ = 0;
        time_point prefilled_ = {};
        std::size_t record_ = 0;
        std::string version_ = {};
    };
    struct dated_report {
        time_point at_ = {};
        engine_report report_ = {};
    };
    struct dated_cache_event {
        time_point visible_ = {};
        cache_event event_ = {};
    };
    using cache_key = std::pair<std::string, std::string>;

    auto find_resident(const std::string& model, const std::string& adapter,
                       const std::string& version) -> resident*;
    auto find_ready(const std::string& model, const std::string& adapter,
                    const std::string& version) -> resident*;
    auto load(const engine_order& wanted) -> order_answer;
    auto unload(const engine_order& wanted) -> void;
    auto finish_order(const std::string& id, std::string_view outcome,
                      std::string_view detail) -> void;
    auto sweep_unloads() -> void;
    auto in_use(const resident& held) const -> bool;
    auto fill_batch(time_point at) -> void;
    auto start(sequence waiting, time_point at) -> void;
    auto run_step(std::vector<generation_event>& events) -> void;
    auto finish(sequence& ended, finish_reason reason,
                std::vector<generation_event>& events) -> void;
    auto touch_cache(const std::string& model, const std::string& hash) -> bool;
    auto publish(bool stored, const cache_key& key) -> void;
    auto used_bytes() const -> std::uint64_t;
    auto step_time() const -> duration;
    auto current_report() -> engine_report;
    auto remember_report() -> void;

    engine_settings settings_;
    const clock& clock_;
    random_source& random_;
    bool leaving_ = false;
    double slowdown_ = 1.0;
    std::string role_ = "mixed";
    std::uint64_t highest_fencing_ = 0;
    std::uint64_t next_sequence_ = 1;
    std::uint64_t report_sequence_ = 0;
    std::uint64_t cache_sequence_ = 0;
    time_point step_end_ = {};
    std::vector<sequence> running_;
    std::list<sequence> waiting_;
    std::vector<generation_event> cancelled_;
    std::list<resident> residents_;
    std::set<std::string> known_orders_;
    std::vector<engine_order> new_loads_;
    std::deque<finished_order> finished_orders_;
    std::deque<dated_report> past_reports_;
    std::deque<dated_cache_event> cache_events_;
    std::list<cache_key> cache_;
    engine_books books_;
};

} // namespace basilstream::testing
