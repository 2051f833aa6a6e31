// Runners with an engine: they hold a model and adapters, take orders and
// report, as PROTOCOL.md tells.
#pragma once

#include "world-2.h"

namespace review {

// An order that a runner got.
struct order_record {
    double at_;
    std::string runner_;
    std::string holder_;
    std::uint64_t fence_;
};

struct order_log {
    std::mutex mutex_;
    std::vector<order_record> orders_;
};

// A runner of the service "textwerk" with room for the model "m0" and eight
// adapters. It holds the model from the start unless it is added later, and
// nothing after a restart, until it is ordered to load it from its disk.
class engine_runner {
public:
    // Runs a request whose model is there.
    using handler = std::function<void(const message&, connection&)>;

    engine_runner(store& place, const std::string& ip, std::string id,
                  order_log& log, handler run, std::string version = "1.0",
                  bool holds_model = true)
        : store_{place}, id_{std::move(id)}, log_{log}, run_{std::move(run)},
          version_{std::move(version)}, born_{unix_ms()},
          holds_model_{holds_model}, server_{ip,
                                             [this](connection& link) {
                                                 serve(link);
                                             }},
          beat_{[this] {
              announce_regularly();
          }} {}
    ~engine_runner() {
        leaving_ = true;
        beat_.join();
        for (auto* const each : {&restarting_, &loading_}) {
            if (each->joinable()) {
                each->join();
            }
        }
        server_.stop();
    }

    const std::string& id() const { return id_; }

    void announce() {
        auto lock = std::scoped_lock{mutex_};
        if (down_) {
            return;
        }
        store_.put("keyed.servers", id_,
                   json{{"service", "textwerk"},
                        {"address", server_.address()},
                        {"zone", "a"},
                        {"version", version_},
                        {"slots", 32},
                        {"state", "ready"},
                        {"stage", "both"},
                        {"models", models()},
                        {"atHand",
                         {{"inMemory", json::array()},
                          {"onDisk", json::array({"m0"})}}},
                        {"coldLeftMs", 0},
                        {"sequence", ++beats_},
                        {"born", born_}}
                       .dump());
    }

    // Ends as a process that crashes, and is back, empty, after `seconds` under
    // the same id. Returns whether it was running. May be called by a handler.
    bool crash(double seconds) {
        auto lock = std::scoped_lock{mutex_};
        if (down_ || leaving_) {
            return false;
        }
        down_ = true;
        ++process_;
        if (restarting_.joinable()) {
            restarting_.join();
        }
        restarting_ = std::thread{[this, seconds] {
            server_.stop();
            sleep_s(seconds);
            server_.start_again();
            {
                auto guard = std::scoped_lock{mutex_};
                born_ = unix_ms();
                beats_ = 0;
                sequence_ = 0;
                holds_model_ = false;
                busy_ = false;
                adapters_.clear();
                down_ = false;
            }
            announce();
        }};
        return true;
    }

private:
    void announce_regularly() {
        while (!leaving_) {
            announce();
            for (auto part = 0; part < 12 && !leaving_; ++part) {
                sleep_s(0.1);
            }
        }
    }

    json models() const {
        if (!holds_model_) {
            return json::array();
        }
        return json::array(
            {{{"name", "m0"},
              {"version", 1},
              {"adapters",
               std::vector<std::string>(adapters_.begin(), adapters_.end())}}});
    }

    void serve(connection& link) {
        const auto here = "Basilstream-Instance-Id: " + id_ + "\r\n";
        while (true) {
            auto request = message{};
            if (!link.read(request, false, 1e9)) {
                return;
            }
            const auto wanted = request.header("basilstream-expect-instance");
            auto answer = std::string{};
            if (!wanted.empty() && wanted != id_) {
                answer = write_answer(421, here, "");
            } else if (request.target() == "/health") {
                answer = write_answer(200, here, "");
            } else if (request.target() == "/basilstream/report") {
                answer = write_answer(200, here, report());
            } else if (request.target() == "/basilstream/order") {
                answer = write_answer(obey(request), here, "");
            } else if (!holds(request.header("basilstream-model"))) {
                answer = write_answer(
                    421,
                    "Basilstream-Request-Id: " +
                        request.header("basilstream-request-id") + "\r\n",
                    "");
            } else {
                run_(request, link);
            }
            if (link.descriptor() < 0 ||
                (!answer.empty() && !link.write(answer))) {
                return;
            }
        }
    }

    bool holds(const std::string& model) {
        auto lock = std::scoped_lock{mutex_};
        const auto slash = model.find('/');
        return holds_model_ && model.substr(0, slash) == "m0" &&
               (slash == std::string::npos ||
                adapters_.contains(model.substr(slash + 1)));
    }

    std::string report() {
        auto lock = std::scoped_lock{mutex_};
        return json{
            {"stage", "both"},       {"models", models()}, {"busy", busy_},
            {"sequence", sequence_}, {"waiting", 0},       {"running", 0},
            {"kvUsed", 1000},        {"kvTotal", 113697},  {"handles", 0}}
            .dump();
    }

    int obey(const message& request) {
        const auto body = json::parse(request.body_, nullptr, false);
        const auto adapter = body.value("adapter", "");
        const auto loads = body.value("operation", "") == "loading";
        const auto holder = body.value("holder", "");
        const auto fence = body.value("fence", std::uint64_t{0});
        auto status = 0;
        {
            auto lock = std::scoped_lock{mutex_};
            status = carry_out(body, adapter, loads);
        }
        record->line("runner %s: order to %s %s/%s by %s, fence %llu: %d",
                     id_.c_str(), loads ? "load" : "unload",
                     body.value("model", "").c_str(), adapter.c_str(),
                     holder.c_str(), static_cast<unsigned long long>(fence),
                     status);
        auto lock = std::scoped_lock{log_.mutex_};
        log_.orders_.push_back({now_s(), id_, holder, fence});
        return status;
    }

    int carry_out(const json& body, const std::string& adapter, bool loads) {
        if (busy_ || (body.contains("expect") &&
                      body["expect"].get<std::uint64_t>() != sequence_)) {
            return 409;
        }
        if (adapter.empty()) {
            if (loads == holds_model_) {
                return 200;
            }
            if (!loads) {
                holds_model_ = false;
                adapters_.clear();
                ++sequence_;
                return 202;
            }
            load_model();
            return 202;
        }
        if (!holds_model_) {
            return 400;
        }
        if (loads == adapters_.contains(adapter)) {
            return 200;
        }
        ++sequence_;
        if (loads) {
            adapters_.insert(adapter);
            return 202;
        }
        adapters_.erase(adapter);
        return 200;
    }

    void load_model() {
        busy_ = true;
        ++sequence_;
        if (loading_.joinable()) {
            loading_.join();
        }
        loading_ = std::thread{[this, process = process_] {
            sleep_s(disk_load_s);
            {
                auto lock = std::scoped_lock{mutex_};
                if (process != process_ || down_) {
                    return;
                }
                busy_ = false;
                holds_model_ = true;
            }
            announce();
        }};
    }

    static constexpr auto disk_load_s = 2.4;

    store& store_;
    const std::string id_;
    order_log& log_;
    const handler run_;
    const std::string version_;
    std::int64_t born_;
    bool holds_model_;
    std::mutex mutex_;
    bool down_ = false;
    bool busy_ = false;
    std::set<std::string> adapters_;
    std::uint64_t sequence_ = 0;
    int beats_ = 0;
    int process_ = 0;
    std::atomic<bool> leaving_{false};
    std::thread restarting_;
    std::thread loading_;
    server server_;
    std::thread beat_;
};

// The service "textwerk" of the site file, with one model.
inline json textwerk_service(int adapters) {
    return json{{"name", "textwerk"},
                {"healthPath", "/health"},
                {"connectionLimit", 230},
                {"engine",
                 {{"slots", 32},
                  {"kvCacheTokens", 113697},
                  {"weightsMb", 230000},
                  {"adapterSlots", 8},
                  {"loadsPerS", 2.1},
                  {"models",
                   {{{"name", "m0"},
                     {"weightsMb", 72700},
                     {"loadTimeS", 9.0},
                     {"warmS", 1.2},
                     {"diskS", 2.4},
                     {"adapters", adapters},
                     {"adapterMb", 66}}}}}}};
}

} // namespace review
