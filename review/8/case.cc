// Streams that began while their service had one software version, and whose
// daemon dies after a second version has appeared.
#include "../engine-2.h"
#include "../streams-2.h"

using namespace review;

namespace {

constexpr auto daemons = 3;
constexpr auto old_runners = 3;
constexpr auto streams = 24;
// The daemons take the only version that they have seen for a minute for that
// of any stream.
constexpr auto steady_time_s = 64.0;
constexpr auto until_release_s = 2.0;
constexpr auto until_kill_s = 5.0;
constexpr auto restart_delay_s = 1.0;
constexpr auto deadline_s = 15.0;
constexpr auto max_tries = 4;

std::string config() {
    auto document = json{{"version", 3},
                         {"limits",
                          {{"headerBytes", 16384},
                           {"bodyBytes", 1048576},
                           {"headerTimeoutMs", 3000},
                           {"idleTimeoutMs", 15000}}},
                         {"services", {textwerk_service(0)}},
                         {"routes",
                          {{{"name", "draft"},
                            {"host", "app.example"},
                            {"pathPrefix", "/gen/"},
                            {"service", "textwerk"},
                            {"kind", "streaming"},
                            {"sticky", true},
                            {"resumable", true},
                            {"timeoutMs", 15000},
                            {"targetLatencyMs", 500},
                            {"targetGapMs", 300},
                            {"priority", 1},
                            {"attempts", 2}}}}};
    return document.dump();
}

} // namespace

int main(int argc, char** argv) {
    const auto options = begin_run(argc, argv);
    const auto* const release_text = std::getenv("RELEASE");
    const auto release =
        release_text == nullptr || std::string{release_text} != "0";
    auto place = store{options.network_ + "2"};
    place.put("keyed.op", "config", config());
    auto log = stream_log{};
    auto orders = order_log{};
    auto runners = std::vector<std::unique_ptr<engine_runner>>{};
    // A runner that joins later holds no model yet.
    const auto add_runner = [&](const std::string& id,
                                const std::string& version, bool holds_model) {
        const auto description = runner_description{
            .id_ = id, .service_ = "textwerk", .version_ = version};
        runners.push_back(std::make_unique<engine_runner>(
            place, options.network_ + "3", id, orders,
            stream_handler(description, {}, log), version, holds_model));
    };
    for (auto index = 0; index < old_runners; ++index) {
        add_runner("i-old-" + std::to_string(index), "1.0", true);
    }
    auto machines = std::vector<std::unique_ptr<daemon_process>>{};
    for (auto index = 0; index < daemons; ++index) {
        machines.push_back(std::make_unique<daemon_process>(
            "front-" + std::to_string(index + 1),
            options.network_ + std::to_string(11 + index), place.address(),
            options.directory_));
    }
    for (const auto& machine : machines) {
        if (!machine->wait_ready(15)) {
            record->line("%s is not ready", machine->name().c_str());
            return 2;
        }
    }
    record->line("all daemons are ready; one software version for a minute");
    sleep_s(steady_time_s);

    // A client each. All begin at the first daemon, the others are told apart
    // by what they send.
    auto begun = std::vector<client_stream>(streams);
    auto threads = std::vector<std::thread>{};
    const auto start = now_s();
    for (auto index = 0; index < streams; ++index) {
        auto& stream = begun[index];
        stream.name_ = "s" + std::to_string(index);
        threads.emplace_back([&, index] {
            sleep_s(0.02 * index);
            auto random = std::minstd_rand(7 + index);
            const auto deadline = now_s() + deadline_s;
            auto target = std::size_t{0};
            for (auto number = 0; number < max_tries; ++number) {
                const auto id = stream.name_ + "-" + std::to_string(number + 1);
                const auto resumes = stream.last_event_ > 0;
                const auto result =
                    try_stream(stream, machines[target]->addresses().callers_,
                               id, deadline);
                if (resumes && target != 0) {
                    ++stream.resume_tries_;
                    stream.went_on_ = stream.went_on_ || result.events_ > 0;
                    stream.resume_statuses_.push_back(result.status_);
                }
                if (stream.complete_) {
                    return;
                }
                // As clients do: another address than that which failed, and
                // not before the time that a refusal tells.
                target = 1 + random() % (daemons - 1);
                sleep_s(std::min(std::max(result.retry_after_, 0.02),
                                 (deadline - now_s()) / 3));
            }
        });
    }
    // New streams at the other daemons, for comparison.
    auto new_streams = std::vector<client_stream>(20);
    auto new_threads = std::vector<std::thread>{};
    auto began_new = std::atomic<int>{0};
    for (auto index = 0; index < 20; ++index) {
        new_streams[index].name_ = "n" + std::to_string(index);
        new_threads.emplace_back([&, index] {
            sleep_until_s(start + until_kill_s + 0.2 * index);
            const auto result = try_stream(
                new_streams[index],
                machines[1 + index % (daemons - 1)]->addresses().callers_,
                new_streams[index].name_ + "-1", now_s() + deadline_s);
            began_new += result.events_ > 0 ? 1 : 0;
        });
    }
    sleep_until_s(start + until_release_s);
    if (release) {
        record->line("a runner of version 2.0 starts beside the others");
        add_runner("i-new-0", "2.0", false);
    }
    sleep_until_s(start + until_kill_s);
    if (options.trouble_) {
        record->line("front-1 is killed");
        machines[0]->kill();
        sleep_s(restart_delay_s);
        machines[0]->start();
    }
    for (auto& each : threads) {
        each.join();
    }
    for (auto& each : new_threads) {
        each.join();
    }

    auto taken_up = 0;
    auto went_on = 0;
    auto complete = 0;
    auto mixed = 0;
    for (const auto& stream : begun) {
        taken_up += stream.resume_tries_ > 0 ? 1 : 0;
        went_on += stream.went_on_ ? 1 : 0;
        complete += stream.complete_ ? 1 : 0;
        mixed += stream.versions_.size() > 1 ? 1 : 0;
    }
    const auto resumed_share =
        taken_up > 0 ? static_cast<double>(went_on) / taken_up : 1.0;
    const auto begun_share = began_new / 20.0;
    const auto broken = taken_up >= 12 && resumed_share < 0.5 * begun_share;
    record->line("%d streams, %d taken up again at machines in touch, %d of "
                 "them went on (%.2f); of 20 new streams %d began (%.2f); %d "
                 "streams were complete, %d of two versions; LOST is %s",
                 streams, taken_up, went_on, resumed_share, began_new.load(),
                 begun_share, complete, mixed, broken ? "broken" : "kept");
    std::printf("%d taken up, %d went on; of 20 new ones %d began; %d whole; "
                "%d mixed: %s\n",
                taken_up, went_on, began_new.load(), complete, mixed,
                broken ? "broken" : "kept");
    machines.clear();
    if (begun_share < 0.9 || (options.trouble_ && taken_up < 12)) {
        return 2;
    }
    return broken ? 1 : 0;
}
