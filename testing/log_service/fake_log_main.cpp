#include "testing/log_service/log_server.hpp"

using namespace basilstream;
using namespace basilstream::testing;

auto main(int argc, char** argv) -> int {
    auto address = std::string{"127.0.0.1"};
    auto port = std::uint16_t{0};
    auto settings = log_settings{.appends_per_second_ = 300};
    const auto status = parse_options(
        argc, argv, "A stand-in log service, kept in memory.",
        {text_option("address", "IP", "address to listen on", address),
         number_option("port", "N", "port; 0 picks one", port),
         number_option("appends-per-second", "N", "append rate; 0: unlimited",
                       settings.appends_per_second_),
         number_option("retained-records", "N", "records kept of a stream",
                       settings.retained_records_),
         duration_option("retained-ms", "time for which records are kept",
                         settings.retained_time_)});
    if (status) {
        return *status;
    }
    block_stop_signals();
    const auto time = steady_clock{};
    auto server = log_server{settings, time};
    if (!server.open(address, port)) {
        return 1;
    }
    wait_for_stop();
    return 0;
}
