/// A `basilstreamd` process with settings and a log file of its own.
///
///     auto daemon = daemon_process{{.name_ = "d1", ...}};
///     daemon.signal(SIGSTOP);
#pragma once

#include <cstddef>
#include <ios>
#include <string>

#include <sys/types.h>

namespace basilstream::testing {

struct daemon_options {
    /// Path of `basilstreamd`.
    std::string program_ = BASILSTREAMD_PATH;
    std::string name_;
    /// Directory for settings and log.
    std::string directory_;
    std::string store_address_;
    /// Loopback address of its listeners, unless it picks its ports itself.
    std::string ip_ = "127.0.0.1";
    int grace_seconds_ = 4;
    double retry_ratio_ = 0.2;
    double retry_allowance_ = 50;
    /// Whether the process picks its ports itself, so that no other process can
    /// take them before it listens; its addresses are known later.
    bool picks_ports_ = false;
    /// Memory of its VM in MB; 0 for no such setting.
    int memory_mb_ = 0;
};

class daemon_process {
public:
    /// Starts the process on ephemeral loopback ports.
    explicit daemon_process(daemon_options options);
    daemon_process(const daemon_process&) = delete;
    auto operator=(const daemon_process&) -> daemon_process& = delete;
    /// Kills the process.
    ~daemon_process();

    auto signal(int number) -> void;
    /// Ends the process at once, unless it has ended.
    auto kill() -> void;
    /// Starts the process again, on the ports that it had unless it picks them
    /// itself. Kills it first if it still runs.
    auto start_anew() -> void;
    /// Changes the settings file; the process reads it after a SIGHUP.
    auto change_retry_limits(double ratio, double allowance) -> void;
    /// Returns whether the process has ended.
    [[nodiscard]] auto ended() -> bool;
    /// Returns how the process ended if that was not what its signals ask for:
    /// by itself, or not with status 0 after a SIGTERM. Empty otherwise.
    [[nodiscard]] auto unexpected_end() -> std::string;
    /// Returns the largest resident size of the process so far, in bytes; 0 if
    /// it is not known.
    [[nodiscard]] auto peak_memory() const -> std::size_t;
    /// Returns the address for callers. If the process picks its ports and has
    /// not told them yet, connections to the returned address are refused.
    [[nodiscard]] auto caller_address() -> const std::string&;
    [[nodiscard]] auto readiness_address() const -> const std::string& {
        return readiness_address_;
    }
    [[nodiscard]] auto directory_address() const -> const std::string& {
        return directory_address_;
    }
    [[nodiscard]] auto metrics_address() const -> const std::string& {
        return metrics_address_;
    }
    [[nodiscard]] auto peer_address() const -> std::string {
        return "127.0.0.1:" + std::to_string(peer_port_);
    }
    /// Returns the lines of its log that contain a text, also of former
    /// processes.
    [[nodiscard]] auto log_lines(const std::string& text) const -> std::string;
    /// Returns the number of descriptors that the process has open.
    [[nodiscard]] auto open_descriptors() const -> std::size_t;

private:
    auto start() -> void;
    auto write_settings(const std::string& path) const -> void;
    // Reads the address for callers from the log.
    auto read_caller_address() -> void;

    daemon_options options_;
    std::string log_path_;
    // Size of the log when the process started.
    std::streamoff log_begin_ = 0;
    std::string caller_address_;
    std::string readiness_address_;
    std::string directory_address_;
    std::string metrics_address_;
    int peer_port_ = 0;
    pid_t pid_ = -1;
    bool ended_ = false;
    // As waitpid() reports it, once the process has ended.
    int status_ = 0;
    bool killed_ = false;
    bool stop_requested_ = false;
};

} // namespace basilstream::testing
