// Entry point of basilstreamd, the daemon of an entry VM: parses the command
// line, handles signals and starts the daemon.

#include <array>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <ctime>
#include <filesystem>
#include <iostream>
#include <string>

#include <ace/OS_NS_signal.h>
#include <ace/Signal.h>
#include <getopt.h>
#include <malloc.h>
#include <pthread.h>
#include <sys/resource.h>
#include <unistd.h>

#include "basilstream/base/bounded_write/bounded_write.hpp"
#include "basilstream/base/clock/clock.hpp"
#include "basilstream/base/process_end/process_end.hpp"
#include "basilstream/daemon/program/program.hpp"
#include "basilstream/daemon/relay_program/relay_program.hpp"
#include "basilstream/daemon/relay_settings/relay_settings.hpp"
#include "basilstream/transport/logging/logging.hpp"
#include "platform/adapter/adapter.hpp"

namespace {

using namespace basilstream;

// Exit statuses, as documented in docs/operations/daemon.md.
constexpr auto exit_ok = 0;
constexpr auto exit_settings = 2;

constexpr auto usage =
    "usage: basilstreamd --config FILE [--check]\n"
    "\n"
    "  --config FILE  settings (JSON)\n"
    "  --check        check the settings and exit\n"
    "  --schema       print the settings' JSON Schema and exit\n"
    "  --help         print this text and exit\n"
    "  --version      print the version and exit\n"
    "\n"
    "SIGTERM or SIGINT begin a graceful shutdown: no request in progress is\n"
    "cut off, also not by a second signal.\n"
    "\n"
    "exit status: 0 graceful shutdown or check passed, 2 bad settings, bad\n"
    "command line, settings that cannot be read within 10 s, or, without the\n"
    "key relay, an address that is taken for 10 s\n";

// Larger blocks, such as bodies of requests, return to the system when they are
// freed. By default the C library keeps them once it has seen some.
constexpr auto min_mapped_block_bytes = 1 << 20;

struct command_line {
    std::string config_;
    bool check_ = false;
    int exit_ = -1;
};

auto parse(int argc, char** argv) -> command_line {
    static const auto options =
        std::array{option{"config", required_argument, nullptr, 'c'},
                   option{"check", no_argument, nullptr, 'k'},
                   option{"schema", no_argument, nullptr, 's'},
                   option{"help", no_argument, nullptr, 'h'},
                   option{"version", no_argument, nullptr, 'v'},
                   option{nullptr, 0, nullptr, 0}};
    auto parsed = command_line{};
    auto option_char = 0;
    while ((option_char =
                getopt_long(argc, argv, "c:", options.data(), nullptr)) != -1) {
        switch (option_char) {
        case 'c':
            parsed.config_ = optarg;
            break;
        case 'k':
            parsed.check_ = true;
            break;
        case 's':
            std::cout << daemon::settings_schema() << "\n";
            parsed.exit_ = exit_ok;
            return parsed;
        case 'h':
            std::cout << usage;
            parsed.exit_ = exit_ok;
            return parsed;
        case 'v':
            std::cout << "basilstreamd " << BASILSTREAM_VERSION << "\n";
            parsed.exit_ = exit_ok;
            return parsed;
        default:
            std::cerr << usage;
            parsed.exit_ = exit_settings;
            return parsed;
        }
    }
    if (parsed.config_.empty() || optind < argc) {
        std::cerr << "basilstreamd: --config FILE is required\n" << usage;
        parsed.exit_ = exit_settings;
    }
    return parsed;
}

// Blocks the signals in this thread and all threads it starts, so that only
// wait_for_shutdown() sees them. Writes to a closed pipe or beyond the limit on
// the size of files fail instead of ending the process.
auto block_signals() -> ACE_Sig_Set {
    auto signals = ACE_Sig_Set{};
    signals.sig_add(SIGTERM);
    signals.sig_add(SIGINT);
    signals.sig_add(SIGUSR1);
    signals.sig_add(SIGHUP);
    ACE_OS::thr_sigsetmask(SIG_BLOCK, signals, nullptr);
    for (const auto unused : {SIGPIPE, SIGXFSZ, SIGUSR2, SIGALRM}) {
        std::signal(unused, SIG_IGN);
    }
    return signals;
}

// Tells the main thread that the daemon has shut down.
class end_notice {
public:
    auto raise() -> void {
        raised_.store(true);
        ::pthread_kill(main_thread_, SIGUSR1);
    }
    [[nodiscard]] auto raised() const -> bool { return raised_.load(); }

private:
    const pthread_t main_thread_ = ::pthread_self();
    std::atomic<bool> raised_{false};
};

// A line that finds no room in the output for this long is dropped: the process
// must heed signals and end also if nobody reads what it writes.
constexpr auto max_output_wait = milliseconds{100};

auto print_error(const error& failure) -> void {
    const auto clock = steady_clock{};
    const auto limit = clock.now() + max_output_wait;
    write_while(STDERR_FILENO,
                "basilstreamd: " + failure.peer_ + ": " + failure.detail_ +
                    "\n",
                [&] { return clock.now() < limit; });
}

// Reports starts and ends of the process as lines of a daemon's log. What
// happens before the settings are known, and after the daemon's own log is
// gone, has no other place.
class process_log {
public:
    // Sets the name of the daemon, which stands in later lines.
    auto set_node(std::string name) -> void { node_ = std::move(name); }
    auto on_failed_attempt(const error& failure, int attempt, bool is_final)
        -> void {
        make_logger().warning("start failed",
                              {{"pid", std::to_string(::getpid())},
                               {"address", failure.peer_},
                               {"detail", failure.detail_},
                               {"attempts", std::to_string(attempt)},
                               {"waited_ms", waited()},
                               {"final", is_final ? "yes" : "no"}});
    }
    auto on_end(int status) -> void {
        auto usage = rusage{};
        ::getrusage(RUSAGE_SELF, &usage);
        make_logger().info("process ends", {{"pid", std::to_string(::getpid())},
                                            {"status", std::to_string(status)},
                                            {"ran_ms", waited()},
                                            {"peak_memory_kb",
                                             std::to_string(usage.ru_maxrss)}});
    }

private:
    [[nodiscard]] auto make_logger() const -> transport::logger {
        return {{.level_ = transport::log_level::info,
                 .format_ = transport::log_format::json,
                 .target_ = transport::log_target::standard_output,
                 .max_wait_ = max_output_wait},
                node_};
    }
    [[nodiscard]] auto waited() const -> std::string {
        return std::to_string(
            std::chrono::duration_cast<milliseconds>(clock_.now() - started_at_)
                .count());
    }

    steady_clock clock_;
    const time_point started_at_ = clock_.now();
    std::string node_;
};

// Interval at which the settings file is checked for changes.
constexpr auto poll_interval = timespec{2, 0};

// Returns the file's last modification time, or the epoch if unavailable.
auto modification_time(const std::string& path)
    -> std::filesystem::file_time_type {
    auto failure = std::error_code{};
    const auto time = std::filesystem::last_write_time(path, failure);
    return failure ? std::filesystem::file_time_type{} : time;
}

// A start that fails because of its surroundings is tried again: the settings
// may be being written, and the process before may still hold an address of a
// daemon that does not wait for it.
constexpr auto start_retry_interval = timespec{0, 100'000'000};
constexpr auto max_start_attempts = 100;
constexpr auto attempts_per_line = 10;

auto may_start_later(const error& failure) -> bool {
    return failure.code_ == error_code::unavailable ||
           failure.code_ == error_code::not_found;
}

// Dispatches stop and reload signals until the daemon has shut down. Also calls
// `reload(false)` at each `poll_interval`.
template <class Stop, class Reload>
auto wait_for_shutdown(ACE_Sig_Set& signals, const end_notice& ended,
                       Stop request_stop, Reload reload) -> void {
    while (!ended.raised()) {
        const auto number = ::sigtimedwait(signals, nullptr, &poll_interval);
        if (number < 0 || number == SIGHUP) {
            reload(number == SIGHUP);
        } else if (number != SIGUSR1) {
            request_stop();
        }
    }
}

// Each of these runs a daemon until it has shut down. Fails if it could not
// start.
auto run_relay(const command_line& line, ACE_Sig_Set& signals, process_log& log)
    -> result<void> {
    const auto settings = daemon::load_relay_settings(line.config_);
    if (!settings || line.check_) {
        return settings ? result<void>{} : tl::unexpected(settings.error());
    }
    log.set_node(settings->name_);
    report_abnormal_end(settings->name_, STDOUT_FILENO);
    auto ended = end_notice{};
    const auto installation = platform::make_installation();
    auto daemon_instance = daemon::relay_program::start(
        *settings, *installation, [&ended] { ended.raise(); });
    if (!daemon_instance) {
        return tl::unexpected(daemon_instance.error());
    }
    auto modified = modification_time(line.config_);
    wait_for_shutdown(
        signals, ended, [&] { (*daemon_instance)->request_stop(); },
        [&](bool reload_requested) {
            // Also reload when the file has changed without a SIGHUP.
            const auto now_modified = modification_time(line.config_);
            if (!reload_requested && now_modified == modified) {
                return;
            }
            modified = now_modified;
            const auto changed = daemon::load_relay_settings(line.config_);
            if (changed) {
                (*daemon_instance)->reload(*changed);
            } else {
                print_error(changed.error());
            }
        });
    return {};
}

auto run_product(const command_line& line, ACE_Sig_Set& signals,
                 process_log& log) -> result<void> {
    const auto settings = daemon::load_settings(line.config_);
    if (!settings || line.check_) {
        return settings ? result<void>{} : tl::unexpected(settings.error());
    }
    log.set_node(settings->name_);
    report_abnormal_end(settings->name_, STDERR_FILENO);
    auto ended = end_notice{};
    auto daemon_instance =
        daemon::program::start(*settings, [&ended] { ended.raise(); });
    if (!daemon_instance) {
        return tl::unexpected(daemon_instance.error());
    }
    std::cout << "listening callers=" << (*daemon_instance)->caller_address()
              << " admin=" << (*daemon_instance)->admin_address()
              << " peers=" << (*daemon_instance)->peer_address() << std::endl;
    wait_for_shutdown(
        signals, ended, [&] { (*daemon_instance)->request_stop(); },
        // Reload is not supported: these settings are read at startup only.
        [](bool) {});
    return {};
}

auto run(const command_line& line, ACE_Sig_Set& signals, process_log& log)
    -> result<void> {
    switch (daemon::settings_kind_of(line.config_)) {
    case daemon::settings_kind::relay:
        return run_relay(line, signals, log);
    case daemon::settings_kind::product:
        return run_product(line, signals, log);
    case daemon::settings_kind::unreadable:
        break;
    }
    return tl::unexpected(error{error_code::not_found, step::settings,
                                line.config_, "no readable JSON document"});
}

// Waits before the next attempt to start. Returns whether a stop was requested.
auto stop_requested_meanwhile(ACE_Sig_Set& signals) -> bool {
    const auto number = ::sigtimedwait(signals, nullptr, &start_retry_interval);
    return number == SIGTERM || number == SIGINT;
}

// Runs a daemon until it has shut down, and tries again while it cannot start.
// Returns the exit status.
auto run_until_end(const command_line& line, ACE_Sig_Set& signals,
                   process_log& log) -> int {
    for (auto attempt = 1;; ++attempt) {
        const auto ran = run(line, signals, log);
        if (ran) {
            return exit_ok;
        }
        const auto is_final =
            !may_start_later(ran.error()) || attempt == max_start_attempts;
        if (is_final || attempt % attempts_per_line == 1) {
            log.on_failed_attempt(ran.error(), attempt, is_final);
        }
        if (is_final) {
            print_error(ran.error());
            return exit_settings;
        }
        if (stop_requested_meanwhile(signals)) {
            return exit_ok;
        }
    }
}

} // namespace

auto main(int argc, char** argv) -> int {
    ::mallopt(M_MMAP_THRESHOLD, min_mapped_block_bytes);
    auto signals = block_signals();
    const auto line = parse(argc, argv);
    if (line.exit_ >= 0) {
        return line.exit_;
    }
    auto log = process_log{};
    if (line.check_) {
        const auto checked = run(line, signals, log);
        if (!checked) {
            print_error(checked.error());
            return exit_settings;
        }
        std::cout << line.config_ << ": settings are valid\n";
        return exit_ok;
    }
    const auto status = run_until_end(line, signals, log);
    log.on_end(status);
    return status;
}
