/// basilctl's view of the deployment: the control stream read to its end, and
/// the daemons' status routes.
///
///     auto link = session{{.log_url_ = "http://127.0.0.1:7000"}};
///     link.refresh();
///     link.state().find_model("acme/chat");
///     link.append(record);
///
/// One thread; calls wait for their answers.
#pragma once

#include <string>
#include <vector>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/base/error/error.hpp"
#include "basilstream/base/random/random.hpp"
#include "basilstream/coordination/log_client/log_client.hpp"
#include "basilstream/protocol/json/json.hpp"
#include "basilstream/transport/http_client/http_client.hpp"
#include "basilstream/transport/log_connection/log_connection.hpp"

namespace basilstream::ctl {

/// Where the deployment is.
struct session_options {
    std::string log_url_;
    /// "IP:PORT" of the daemons' admin routes.
    std::vector<std::string> admins_;
    /// How long an answer of log or daemons is waited for.
    milliseconds timeout_{12'000};
};

/// The accepted end of an append.
struct append_answer {
    state::log_offset offset_ = 0;
    state::apply_outcome outcome_;
};

/// A daemon's answer as text.
struct daemon_text {
    std::string address_;
    result<std::string> text_;
};

/// A daemon's answer to a status request.
struct daemon_status {
    std::string address_;
    result<protocol::json> status_;
};

/// A connection to the deployment.
class session {
public:
    explicit session(session_options options);

    /// Reads the control stream to its end. Fails with `unavailable` when the
    /// log does not answer in time.
    auto refresh() -> result<void>;
    /// The state as of the last refresh or append.
    [[nodiscard]] auto state() const -> const state::machine& {
        return replica_.state();
    }
    /// Appends a record and reads on until its fate is known. An error means
    /// that the fate is unknown when its `run_` is `unknown`.
    auto append(state::record body) -> result<append_answer>;
    /// Asks every daemon for `path` of its admin routes.
    auto ask_daemons_for_text(const std::string& path)
        -> std::vector<daemon_text>;
    /// As ask_daemons_for_text, for routes that answer with JSON.
    auto ask_daemons(const std::string& path) -> std::vector<daemon_status>;

    [[nodiscard]] auto options() const -> const session_options& {
        return options_;
    }
    [[nodiscard]] auto now() const -> time_point { return clock_.now(); }

private:
    auto read_once() -> void;
    auto append_once() -> void;

    session_options options_;
    steady_clock clock_;
    seeded_random random_;
    transport::http_client client_;
    transport::log_connection connection_;
    coordination::replica replica_;
    coordination::appender appender_;
};

} // namespace basilstream::ctl
