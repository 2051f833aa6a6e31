#include <malloc.h>

#include <cstdint>
#include <string>
#include <vector>

#include <benchmark/benchmark.h>

#include "basilstream/coordination/claims/internal/claim_index.hpp"
#include "basilstream/protocol/claim_codec/claim_codec.hpp"

namespace {

using namespace basilstream;
using namespace basilstream::coordination;

auto make_claim(std::int64_t number) -> claim_record {
    const auto digits = std::to_string(1'000'000'000 + number);
    return {{"angebotswerk", "tender-submissions",
             "0f8fad5b-d9cb-469f-a165-" + digits},
            {1, static_cast<std::uint64_t>(number)},
            "4f0000000000000000000000" + digits,
            {"entry-muc-a-1", "5a0000000000000000000000"},
            0};
}

// Returns a stream of `count` requests: a claim and a finish record without
// answer for each.
auto make_stream(std::int64_t count) -> std::vector<claim_log_entry> {
    auto entries = std::vector<claim_log_entry>{
        {0, ownership_record{"entry-muc-a-1/boot", {}, 0}}};
    for (auto number = std::int64_t{0}; number < count; ++number) {
        const auto claim = make_claim(number);
        entries.push_back({entries.size(), claim});
        entries.push_back(
            {entries.size(),
             finish_record{claim.key_, claim.request_id_, {}, 0}});
    }
    return entries;
}

// Measures the replay of a shard's stream, as at the start of an owner, and the
// memory and log bytes per remembered key.
auto replay_claims(benchmark::State& state) -> void {
    const auto guards = claim_guards{};
    const auto entries = make_stream(state.range(0));
    auto used = 0.0;
    while (state.KeepRunning()) {
        const auto before = mallinfo2().uordblks;
        auto index = internal::claim_index{guards};
        for (const auto& entry : entries) {
            index.apply(entry, {});
        }
        used = static_cast<double>(mallinfo2().uordblks - before);
    }
    auto log_bytes = std::size_t{0};
    for (const auto& entry : entries) {
        log_bytes += protocol::encode(entry.record_).size();
    }
    const auto keys = static_cast<double>(state.range(0));
    state.counters["memory_bytes_per_key"] = used / keys;
    state.counters["log_bytes_per_key"] = static_cast<double>(log_bytes) / keys;
    state.SetItemsProcessed(state.iterations() * state.range(0));
}
BENCHMARK(replay_claims)->Arg(1000)->Arg(10000)->Arg(100000);

} // namespace
