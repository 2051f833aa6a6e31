// Entry point of basilstreamd, the daemon of an entry VM: parses the command
// line, handles signals and starts the daemon.

#include <array>
#include <csignal>
#include <cstdlib>
#include <ctime>
#include <filesystem>
#include <iostream>
#include <string>

#include <ace/OS_NS_signal.h>
#include <ace/Signal.h>
#include <getopt.h>
#include <pthread.h>

#include "basilstream/daemon/program/program.hpp"
#include "basilstream/daemon/relay_program/relay_program.hpp"
#include "basilstream/daemon/relay_settings/relay_settings.hpp"
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
    "command line or an address that is taken\n";

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
// wait_for_shutdown() sees them.
auto block_signals() -> ACE_Sig_Set {
    auto signals = ACE_Sig_Set{};
    signals.sig_add(SIGTERM);
    signals.sig_add(SIGINT);
    signals.sig_add(SIGUSR1);
    signals.sig_add(SIGHUP);
    ACE_OS::thr_sigsetmask(SIG_BLOCK, signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

auto print_error(const error& failure) -> void {
    std::cerr << "basilstreamd: " << failure.peer_ << ": " << failure.detail_
              << "\n";
}

// Interval at which the settings file is checked for changes.
constexpr auto poll_interval = timespec{2, 0};

// Returns the file's last modification time, or the epoch if unavailable.
auto modification_time(const std::string& path)
    -> std::filesystem::file_time_type {
    auto failure = std::error_code{};
    const auto time = std::filesystem::last_write_time(path, failure);
    return failure ? std::filesystem::file_time_type{} : time;
}

// Dispatches stop and reload signals until the daemon has shut down, which it
// signals by sending SIGUSR1 to this thread. Also calls `reload(false)` at
// each `poll_interval`.
template <class Stop, class Reload>
auto wait_for_shutdown(ACE_Sig_Set& signals, Stop request_stop, Reload reload)
    -> void {
    while (true) {
        const auto number = ::sigtimedwait(signals, nullptr, &poll_interval);
        if (number == SIGUSR1) {
            return;
        }
        if (number < 0 || number == SIGHUP) {
            reload(number == SIGHUP);
        } else {
            request_stop();
        }
    }
}

auto run_relay(const command_line& line) -> int {
    const auto settings = daemon::load_relay_settings(line.config_);
    if (!settings) {
        print_error(settings.error());
        return exit_settings;
    }
    if (line.check_) {
        std::cout << line.config_ << ": settings are valid\n";
        return exit_ok;
    }
    auto signals = block_signals();
    const auto main_thread = ::pthread_self();
    const auto installation = platform::make_installation();
    auto daemon_instance =
        daemon::relay_program::start(*settings, *installation, [main_thread] {
            ::pthread_kill(main_thread, SIGUSR1);
        });
    if (!daemon_instance) {
        print_error(daemon_instance.error());
        return exit_settings;
    }
    auto modified = modification_time(line.config_);
    wait_for_shutdown(
        signals, [&] { (*daemon_instance)->request_stop(); },
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
    return exit_ok;
}

} // namespace

auto main(int argc, char** argv) -> int {
    const auto line = parse(argc, argv);
    if (line.exit_ >= 0) {
        return line.exit_;
    }
    if (daemon::has_relay_settings(line.config_)) {
        return run_relay(line);
    }
    const auto settings = daemon::load_settings(line.config_);
    if (!settings) {
        print_error(settings.error());
        return exit_settings;
    }
    if (line.check_) {
        std::cout << line.config_ << ": settings are valid\n";
        return exit_ok;
    }
    auto signals = block_signals();
    const auto main_thread = ::pthread_self();
    auto daemon_instance = daemon::program::start(
        *settings, [main_thread] { ::pthread_kill(main_thread, SIGUSR1); });
    if (!daemon_instance) {
        std::cerr << "basilstreamd: " << line.config_ << ": "
                  << daemon_instance.error().detail_ << "\n";
        return exit_settings;
    }
    std::cout << "listening callers=" << (*daemon_instance)->caller_address()
              << " admin=" << (*daemon_instance)->admin_address()
              << " peers=" << (*daemon_instance)->peer_address() << std::endl;
    wait_for_shutdown(
        signals, [&] { (*daemon_instance)->request_stop(); },
        // Reload is not supported: these settings are read at startup only.
        [](bool) {});
    return exit_ok;
}
