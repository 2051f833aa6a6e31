// bare_relay RUNNER: serves the baseline until it is ended.

#include <csignal>
#include <iostream>

#include <ace/OS_NS_signal.h>
#include <ace/Signal.h>

#include "bench/relay/relay.hpp"

auto main(int count, char** words) -> int {
    if (count != 2) {
        std::cerr << "usage: bare_relay IP:PORT\n";
        return 2;
    }
    auto signals = ACE_Sig_Set{};
    signals.sig_add(SIGTERM);
    signals.sig_add(SIGINT);
    ACE_OS::thr_sigsetmask(SIG_BLOCK, signals, nullptr);
    const auto baseline = basilstream::bench::relay{words[1]};
    std::cout << "listening " << baseline.address() << std::endl;
    auto number = 0;
    ACE_OS::sigwait(signals, &number);
    return 0;
}
