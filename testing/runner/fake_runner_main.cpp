#include "testing/runner/runner_server.hpp"

namespace {

using namespace basilstream;
using namespace basilstream::testing;

struct command_line {
    std::string address_ = "127.0.0.1";
    std::uint16_t port_ = 0;
    std::uint64_t seed_ = 0;
    bool ignore_fencing_ = false;
    runner_options runner_ = {};
};

auto options_of(command_line& line) -> std::vector<option> {
    auto& engine = line.runner_.engine_;
    return {
        text_option("address", "IP", "address to listen on", line.address_),
        number_option("port", "N", "port; 0 picks one", line.port_),
        number_option("seed", "N", "seed; 0 draws one", line.seed_),
        number_option("memory-bytes", "N", "accelerator memory",
                      engine.memory_bytes_),
        number_option("slots", "N", "sequences in a batch", engine.slots_),
        number_option("queue", "N", "sequences that may wait", engine.queue_),
        number_option("cache-entries", "N", "prefixes kept",
                      engine.cache_entries_),
        number_option("cache-event-loss", "SHARE", "unpublished cache events",
                      engine.cache_event_loss_),
        duration_option("cache-event-lag-ms", "delay of cache events",
                        engine.cache_event_lag_),
        duration_option("report-lag-ms", "age of load reports",
                        engine.report_lag_),
        duration_option("step-ms", "batch step without sequences",
                        engine.step_base_),
        duration_option("step-per-sequence-ms", "step added by a sequence",
                        engine.step_per_sequence_),
        duration_option("prefill-per-byte-ms", "time to read a prompt byte",
                        engine.prefill_per_byte_),
        switch_option("ignore-fencing", "do not check fencing numbers",
                      line.ignore_fencing_),
        text_option("weight-store", "IP:PORT", "where weights come from",
                    line.runner_.weight_store_),
        duration_option("load-ms", "load time without a weight store",
                        line.runner_.load_time_),
        duration_option("adapter-ms", "adapter load time without one",
                        line.runner_.adapter_time_),
    };
}

} // namespace

auto main(int argc, char** argv) -> int {
    auto line = command_line{};
    const auto status =
        parse_options(argc, argv, "A stand-in model runner.", options_of(line));
    if (status) {
        return *status;
    }
    block_stop_signals();
    const auto time = steady_clock{};
    auto random = seeded_random{line.seed_ == 0 ? entropy_seed() : line.seed_};
    line.runner_.engine_.checks_fencing_ = !line.ignore_fencing_;
    line.runner_.engine_.boot_id_ = make_id(random);
    auto server = runner_server{line.runner_, time, random};
    if (!server.open(line.address_, line.port_)) {
        return 1;
    }
    wait_for_stop();
    return 0;
}
