/// Checks what clients and backend servers see against the promises made to
/// them.
///
///     auto promises = promise_checker{};
///     promises.on_sent({"q1", request_kind::once, "/once/1", "body"}, now);
///     promises.on_run("q1", {"s1", 3}, "/once/1", "body", true, now);
///     promises.on_answer("q1", {200, "q1 s1/3", true, true}, now);
///     promises.violations();
///
/// Pure; not safe for concurrent use.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/base/name_table/name_table.hpp"

namespace basilstream::testing {

enum class promise {
    /// A request that must not be repeated ran more than once.
    twice,
    /// A request that was answered as not run has run, or ran later.
    refused_but_run,
    /// A success without the server's signature, or with another body.
    mixed,
    /// A server ran a request that no client sent, or an altered one.
    unasked,
    /// A stream lacks an event or ends early as if it were complete.
    order,
    /// A request that crashes servers was sent on.
    crashing_request,
    /// A request had no answer half a second after its time-out.
    late,
    /// A daemon did not end within its grace time.
    stop,
    /// Too few requests are served once the faults are over.
    recovery,
    /// A server got more requests than the rate limit that it had named.
    server_limit,
    /// Streams went on at another software version than that which began them.
    stream_version,
    /// Too few of the streams that clients resume go on.
    resumption,
    /// A daemon ended by itself, or not in order after a SIGTERM.
    ended,
};

inline constexpr auto promise_names =
    name_table<promise, 13>{{{{promise::twice, "twice"},
                              {promise::refused_but_run, "refused_but_run"},
                              {promise::mixed, "mixed"},
                              {promise::unasked, "unasked"},
                              {promise::order, "order"},
                              {promise::crashing_request, "crashing_request"},
                              {promise::late, "late"},
                              {promise::stop, "stop"},
                              {promise::recovery, "recovery"},
                              {promise::server_limit, "server_limit"},
                              {promise::stream_version, "stream_version"},
                              {promise::resumption, "resumption"},
                              {promise::ended, "ended"}}}};

struct violation {
    promise promise_;
    std::string detail_;
};

/// What may be repeated of a request.
enum class repeatability { safe, once, stream, resumable, crashing };

struct sent_request {
    std::string id_;
    repeatability kind_ = repeatability::safe;
    std::string path_;
    std::string body_;
};

/// One process of a server.
struct server_process {
    std::string name_;
    int start_ = 0;
    auto operator<(const server_process& other) const -> bool {
        return std::tie(name_, start_) < std::tie(other.name_, other.start_);
    }
};

struct received_answer {
    int status_ = 0;
    std::string body_;
    /// Whether it bears a server's signature.
    bool signed_ = false;
    /// Whether it ended as a complete answer.
    bool complete_ = false;
    /// Whether the daemon was stopped, paused or cut off meanwhile.
    bool disturbed_ = false;
};

/// One try of a client to receive a resumable stream or the rest of it.
struct stream_try {
    /// Id of the client's first try, which stands for the stream.
    std::string stream_;
    std::string id_;
    std::string body_;
    bool complete_ = false;
    /// Whether its daemon was undisturbed for long enough to be bound to
    /// resume streams, and two servers of the stream's version run.
    bool counts_ = false;
};

/// What a client has received of a resumable stream.
struct stream_position {
    /// Id of the try that received the first event; empty before it.
    std::string began_as_;
    std::string version_;
    int last_event_ = 0;
};

class promise_checker {
public:
    auto on_sent(sent_request request, time_point now) -> void;
    /// A server began to run a request. `settled` says whether the daemon that
    /// sent it had been undisturbed, with an undisturbed store, for long enough
    /// to be bound by what others know.
    auto on_run(const std::string& id, const server_process& server,
                const std::string& path, const std::string& body, bool settled,
                time_point now) -> void;
    auto on_answer(const std::string& id, const received_answer& answer,
                   time_point now) -> void;
    /// A server names a rate limit in all its answers from now on, or none.
    auto on_limit(const std::string& server, std::optional<double> per_second,
                  time_point now) -> void;
    /// A client got an answer of the server that names its limit.
    auto on_limit_passed_on(const std::string& daemon,
                            const std::string& server, time_point now) -> void;
    /// A request of any outcome reached a server. `settled` as for on_run().
    auto on_arrival(const std::string& server, const std::string& daemon,
                    bool settled, time_point now) -> void;
    /// A try for a resumable stream has ended. Returns what the client has.
    auto on_stream_try(const stream_try& ended) -> stream_position;
    [[nodiscard]] auto position_of(const std::string& stream) const
        -> stream_position;
    /// Checks that streams were resumed about as often as new ones began.
    auto check_resumptions() -> void;
    /// Records a violation that the caller has found.
    auto report(promise broken, std::string detail) -> void;
    /// Counts requests that are sent from now on, for recovery_share().
    auto begin_recovery() -> void { recovering_ = true; }
    /// Checks that nine tenths of the requests of the recovery were served.
    auto check_recovery() -> void;

    [[nodiscard]] auto violations() const -> const std::vector<violation>& {
        return violations_;
    }
    [[nodiscard]] auto sent() const -> std::size_t { return requests_.size(); }
    [[nodiscard]] auto served() const -> std::size_t { return served_; }
    [[nodiscard]] auto crashes() const -> std::size_t { return crashes_; }

    /// Returns the body of the answer to a request.
    [[nodiscard]] static auto answer_body(const std::string& id,
                                          const server_process& server)
        -> std::string;
    /// Number of events in a stream, and the text of one.
    static constexpr auto stream_events_ = 8;
    [[nodiscard]] static auto event_text(int number) -> std::string;
    /// Returns an event of a resumable stream at a server of `version`.
    [[nodiscard]] static auto event_text(int number, const std::string& version)
        -> std::string;

private:
    struct request_state {
        sent_request request_;
        time_point sent_at_;
        std::vector<server_process> runs_;
        bool answered_as_not_run_ = false;
        bool in_recovery_ = false;
    };
    struct crashing_state {
        std::set<server_process> crashed_;
        std::optional<time_point> third_crash_;
        int late_retries_ = 0;
    };
    struct limit_state {
        double per_second_ = 0;
        time_point named_at_;
        // When each daemon first passed the limit on.
        std::map<std::string, time_point> passed_on_;
        // Arrivals of the last seconds from daemons that are bound by it.
        std::deque<time_point> arrivals_;
        bool exceeded_ = false;
    };
    auto check_success(const request_state& state,
                       const received_answer& answer) -> void;
    auto check_crashing_run(const std::string& path,
                            const server_process& server, bool settled,
                            time_point now) -> void;

    std::map<std::string, request_state> requests_;
    // Crashing requests by path.
    std::map<std::string, crashing_state> crashing_;
    struct stream_state {
        stream_position position_;
        bool mixed_ = false;
    };
    struct try_counts {
        int tries_ = 0;
        int received_events_ = 0;
    };
    // Resumable streams by the id of their first try.
    std::map<std::string, stream_state> streams_;
    int mixed_streams_ = 0;
    try_counts new_streams_;
    try_counts resumptions_;
    // Limits in force, by server.
    std::map<std::string, limit_state> limits_;
    std::size_t crashes_ = 0;
    std::size_t served_ = 0;
    bool recovering_ = false;
    std::size_t recovery_sent_ = 0;
    std::size_t recovery_served_ = 0;
    std::vector<violation> violations_;
};

} // namespace basilstream::testing
