/// Exchanges between daemons which parts of prompts crash backend servers.
///
///     auto sharing = prompt_sharing{{clock, log}, "entry-1", tracker,
///                                   [&](const auto& message) {
///                                       quarantine_log.publish(message);
///                                   }};
///     sharing.connect(send);
///     sharing.set_daemons({"entry-1", "entry-2"});
///     sharing.tick();                      // every 50 ms or so
///     sharing.on_update(sender, update);
///
/// Everything is published, for the daemons that messages do not reach.
/// Besides, marks, releases and clearances are sent to all daemons at once;
/// crashes go to all of a few daemons, and among many to the arbiter, which
/// then sends marks. Not thread-safe: use on the traffic thread only.
#pragma once

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/coordination/prompt_quarantine/prompt_quarantine.hpp"
#include "basilstream/daemon/server_permits/server_permits.hpp"
#include "basilstream/protocol/quarantine_codec/quarantine_codec.hpp"
#include "basilstream/protocol/relay_codec/relay_codec.hpp"
#include "basilstream/transport/logging/logging.hpp"

namespace basilstream::daemon {

/// Merges a message of another daemon, which is older by `delay` than it says.
/// Returns false if it does not concern parts of prompts.
auto merge_prompt_message(const protocol::quarantine_message& message,
                          duration delay,
                          coordination::prompt_quarantine& tracker,
                          time_point now) -> bool;

/// Dependencies of a prompt_sharing; each must outlive it.
struct prompt_sharing_context {
    const clock& clock_;
    transport::logger& log_;
};

class prompt_sharing {
public:
    using publisher = std::function<void(const protocol::quarantine_message&)>;

    prompt_sharing(const prompt_sharing_context& context, std::string self,
                   coordination::prompt_quarantine& tracker, publisher publish);

    /// Sets how updates are sent; until then, messages are only published.
    auto connect(update_sender send) -> void { send_ = std::move(send); }
    /// Sets the daemons considered alive, this one included.
    auto set_daemons(const std::vector<std::string>& daemons) -> void;
    /// Sends and publishes what the quarantine has to tell.
    auto tick() -> void;
    /// Merges what another daemon has sent.
    auto on_update(const std::string& sender,
                   const protocol::relay_update& update) -> void;

private:
    [[nodiscard]] auto
    receivers_of(const protocol::quarantine_message& message) const
        -> std::vector<std::string>;
    // Logs parts that are held from now on, or no longer.
    auto log_changes() -> void;

    const prompt_sharing_context context_;
    const std::string self_;
    coordination::prompt_quarantine& tracker_;
    publisher publish_;
    update_sender send_;
    std::vector<std::string> others_;
    std::set<coordination::prompt_part_id> logged_;
};

} // namespace basilstream::daemon
