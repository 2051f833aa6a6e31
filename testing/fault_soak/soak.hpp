/// Randomised run of real daemons, as processes of their own, under faults that
/// are injected from outside: signals, and proxies and stand-ins that delay,
/// reset, cut or refuse. Faults overlap; a quiet phase follows at the end.
///
///     auto soak = fault_soak{{.seed_ = 7}};
///     for (const auto& found : soak.run()) { ... }
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/base/random/random.hpp"
#include "basilstream/transport/http_pool/http_pool.hpp"
#include "basilstream/transport/reactor/reactor.hpp"
#include "testing/fault_soak/daemon_process.hpp"
#include "testing/fault_soak/fault_proxy.hpp"
#include "testing/fault_soak/promises.hpp"
#include "testing/fault_soak/stand_in_server.hpp"
#include "testing/fault_soak/stand_in_store.hpp"

namespace basilstream::testing {

struct soak_options {
    std::uint64_t seed_ = 1;
    /// Length of the phase with faults.
    int seconds_ = 40;
    int daemons_ = 5;
    int servers_ = 5;
    /// Interval between two requests.
    milliseconds request_interval_{10};
    /// Directory for the daemons' settings and logs.
    std::string directory_;
    /// Path of another `basilstreamd` than that of this build; empty for that.
    std::string program_ = {};
    /// The only fault to inject; empty for all.
    std::string only_fault_ = {};
};

struct soak_result {
    std::vector<violation> violations_;
    std::size_t sent_ = 0;
    std::size_t served_ = 0;
    std::size_t crashes_ = 0;
    /// Injected faults in order, with their time in milliseconds.
    std::vector<std::string> faults_;
};

class fault_soak {
public:
    explicit fault_soak(soak_options options);
    fault_soak(const fault_soak&) = delete;
    auto operator=(const fault_soak&) -> fault_soak& = delete;
    ~fault_soak();

    /// Blocks until the run is over. Call once.
    [[nodiscard]] auto run() -> soak_result;

private:
    struct node;
    class client_call;
    struct fault_kind {
        const char* name_;
        void (fault_soak::*inject_)();
    };
    static const std::vector<fault_kind> fault_kinds_;

    auto start_daemon(node& target) -> void;
    // Excuses a daemon from what it must know until `time` from now.
    auto disturb(node& target, duration time) -> void;
    auto disturb_all(duration time) -> void;
    auto random_node() -> node&;
    auto random_server() -> stand_in_server&;
    auto random_time(int shortest_ms, int longest_ms) -> milliseconds;
    auto schedule_fault() -> void;
    auto restart_ended() -> void;
    auto heal() -> void;

    auto pause_daemon() -> void;
    auto kill_daemon() -> void;
    auto kill_all_daemons() -> void;
    auto stop_daemon() -> void;
    auto reload_daemon() -> void;
    auto cut_daemon_from_store() -> void;
    auto reset_daemon_from_store() -> void;
    auto fail_store() -> void;
    auto crash_server() -> void;
    auto crash_two_servers() -> void;
    auto delay_server() -> void;
    auto cut_server() -> void;
    auto reset_server() -> void;
    auto rename_crashing_request() -> void;
    auto limit_server() -> void;

    auto send_request() -> void;
    auto send(repeatability kind) -> void;
    // Sends a try for a resumable stream; a new one if `stream` is empty.
    auto send_stream_try(std::string stream, int tries) -> void;
    auto send_to(const node& target, sent_request request,
                 transport::header_list headers,
                 const std::shared_ptr<client_call>& call) -> void;
    // Returns whether two servers of the version run.
    [[nodiscard]] auto version_serves(const std::string& version) const -> bool;

    const soak_options options_;
    steady_clock clock_;
    seeded_random random_;
    transport::reactor_thread thread_;
    promise_checker promises_;
    stand_in_store store_;
    std::vector<std::unique_ptr<stand_in_server>> servers_;
    std::vector<std::unique_ptr<node>> nodes_;
    transport::http_pool clients_;
    std::vector<std::string> injected_;
    time_point started_at_;
    bool injecting_ = false;
    bool sending_ = false;
    int crashing_requests_ = 1;
    std::uint64_t next_id_ = 0;
};

} // namespace basilstream::testing
