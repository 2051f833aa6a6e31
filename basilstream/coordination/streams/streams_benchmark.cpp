#include <cstdint>
#include <string>

#include <benchmark/benchmark.h>

#include "basilstream/coordination/streams/streams.hpp"

namespace {

using namespace basilstream::coordination;

// Measures the cost per token: parsing the event id, validating the chunk and
// updating the buffer size.
auto check_token(benchmark::State& state) -> void {
    const auto prefix = std::string{"0123456789abcdef0123456789abcdef/1/"};
    auto checker = stream_checker{{}, prefix.substr(0, 32)};
    auto started = checker.start_attempt(1);
    benchmark::DoNotOptimize(started);
    auto text = prefix;
    auto position = std::uint64_t{0};
    while (state.KeepRunning()) {
        text.resize(prefix.size());
        text += std::to_string(position++);
        const auto id = parse_chunk_id(text);
        benchmark::DoNotOptimize(checker.on_chunk(*id, 6));
        checker.on_bytes_sent(6);
        benchmark::DoNotOptimize(checker.take_signal());
        benchmark::DoNotOptimize(checker.take_action());
    }
    state.SetItemsProcessed(state.iterations());
}
BENCHMARK(check_token);

} // namespace
