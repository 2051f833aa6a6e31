// Plays records of other writers, and of daemons of other builds, to running
// daemons. All of them read the same store, so that a record that ends one
// ends all, and again at each start.

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <future>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <unistd.h>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/base/random/random.hpp"
#include "basilstream/protocol/json/json.hpp"
#include "basilstream/protocol/quarantine_codec/quarantine_codec.hpp"
#include "basilstream/protocol/relay_codec/relay_codec.hpp"
#include "basilstream/transport/reactor/reactor.hpp"
#include "testing/fault_soak/daemon_process.hpp"
#include "testing/fault_soak/stand_in_store.hpp"

namespace basilstream::testing {
namespace {

using protocol::json;

// A thousand of each kind, before and after the daemons have started.
constexpr auto rounds = 500;
constexpr auto settling_time = seconds{3};

class record_maker {
public:
    explicit record_maker(std::uint64_t seed) : random_{seed} {}

    auto config() -> std::string {
        auto document = json::parse(R"({
            "routes": [{"name": "r", "host": "x", "pathPrefix": "/a02%1/a05+/",
                "kind": "idempotent", "timeoutMs": 2000, "targetLatencyMs": 100,
                "priority": 1, "attempts": 2, "service": "app",
                "resumable": true, "sticky": true, "targetGapMs": 300,
                "split": [{"service": "app", "weight": 1}]}],
            "services": [{"name": "app", "healthPath": "/health",
                "connectionLimit": 50, "engine": {"slots": 4,
                    "kvCacheTokens": 1000, "weightsMb": 100,
                    "adapterSlots": 2, "loadsPerS": 2,
                    "models": [{"name": "m", "weightsMb": 50, "loadTimeS": 1,
                        "warmS": 1, "diskS": 1, "adapters": 2,
                        "adapterMb": 1}]}}],
            "limits": {"headerBytes": 16384, "bodyBytes": 1048576,
                "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": "o", "apiKeys": ["k"], "priority": 1,
                "unit": "token_streaming", "plainTokens": 10, "ratePerS": 5,
                "burst": 5}]})");
        document["version"] = ++version_;
        return changed(std::move(document));
    }
    auto server() -> std::string {
        return changed(json::parse(R"({
            "service": "app", "address": "127.0.0.1:9", "zone": "a",
            "version": "v1", "slots": 4, "state": "ready", "sequence": 3,
            "coldLeftMs": 0, "born": 1000, "remainingMs": 5000,
            "models": [{"name": "m", "version": 1, "adapters": ["a1"]}],
            "atHand": {"inMemory": ["m"], "onDisk": ["m"]}})"));
    }
    auto quarantine() -> std::string {
        const auto print =
            *coordination::parse_fingerprint(std::string(32, 'a'));
        auto record = protocol::quarantine_record{milliseconds{number()}, {}};
        record.messages_ = {
            coordination::quarantine_mark{print, {"s1", "s1"}, true, age(), 2},
            coordination::suspicion{print, text(), text(), age()},
            coordination::clearance{print, {}},
            coordination::prompt_crash{text(), text(), age(), {1, 2, 3}},
            coordination::prompt_part_mark{7, age(), true, 3}};
        return flipped(protocol::encode_quarantine(record));
    }
    auto lease() -> std::string {
        return flipped(protocol::encode(coordination::lease_entry{}));
    }
    auto text() -> std::string {
        const auto texts =
            std::array<std::string, 10>{"",
                                        "127.0.0.1:0",
                                        "999.1.1.1:70000",
                                        "not an address",
                                        std::string(5000, 'x'),
                                        std::string("\0\n\r%+&#", 7),
                                        "\xff\xfe",
                                        "tcp://*:*",
                                        "127.0.0.1:1",
                                        "a02%1"};
        return texts.at(random_.below(texts.size()));
    }

private:
    auto number() -> std::int64_t {
        constexpr auto numbers =
            std::array<std::int64_t, 7>{0,
                                        -1,
                                        1,
                                        std::int64_t{1} << 62,
                                        -(std::int64_t{1} << 62),
                                        1'780'000'000'000,
                                        1'000'000'000'000'000};
        return numbers.at(random_.below(numbers.size()));
    }
    auto age() -> duration { return duration{number()}; }

    auto value() -> json {
        const auto values =
            std::array<json, 15>{json(nullptr),    json(true),
                                 json(-1),         json(0),
                                 json(1e308),      json(1e15),
                                 json(1e-300),     json(18446744073709551615U),
                                 json(9e18),       json(text()),
                                 json::array(),    json::object(),
                                 json::array({1}), json::array({nullptr, "x"}),
                                 json{{"name", 1}}};
        return values.at(random_.below(values.size()));
    }

    // Changes up to four values anywhere in a document, or its text.
    auto changed(json document) -> std::string {
        for (auto count = random_.below(5); count > 0; --count) {
            auto flat = document.flatten();
            auto chosen = flat.begin();
            std::advance(chosen, static_cast<long>(random_.below(flat.size())));
            auto path = json::json_pointer{chosen.key()};
            for (auto up = random_.below(3); up > 0 && !path.empty(); --up) {
                path.pop_back();
            }
            document[path] = value();
            if (!document.is_object() || document.empty()) {
                break;
            }
        }
        auto bytes =
            document.dump(-1, ' ', false, json::error_handler_t::ignore);
        return random_.below(10) == 0 ? flipped(std::move(bytes)) : bytes;
    }

    auto flipped(std::string bytes) -> std::string {
        for (auto count = random_.below(4); count > 0 && !bytes.empty();
             --count) {
            bytes[random_.below(bytes.size())] =
                static_cast<char>(random_.below(256));
        }
        if (random_.below(8) == 0) {
            bytes.resize(random_.below(bytes.size() + 1));
        }
        return bytes;
    }

    seeded_random random_;
    int version_ = 0;
};

// Whether a daemon has read records of each kind that it logs something about.
auto has_read_records(const std::string& log_path) -> bool {
    auto text = std::ostringstream{};
    text << std::ifstream{log_path}.rdbuf();
    const auto log = text.str();
    const auto events =
        std::array{"\"configuration activated\"",
                   "\"undecodable backend server record ignored\"",
                   "\"undecodable quarantine record ignored\""};
    return std::all_of(events.begin(), events.end(), [&](const char* event) {
        return log.find(event) != std::string::npos;
    });
}

class foreign_records : public ::testing::TestWithParam<int> {};

// No field is trusted: a daemon that such a record ends does not start again.
TEST_P(foreign_records, record_ends_all_daemons) {
    const auto directory = std::filesystem::temp_directory_path() /
                           ("foreign_records." + std::to_string(::getpid()));
    std::filesystem::create_directories(directory);
    auto thread = transport::reactor_thread{"world", 16'384};
    const auto time = steady_clock{};
    auto store = stand_in_store{thread, time};
    auto records = record_maker{static_cast<std::uint64_t>(GetParam())};
    const auto put_round = [&](int round) {
        store.put("keyed.op", "config", records.config());
        store.put("keyed.servers", "s" + std::to_string(round % 20),
                  records.server());
        store.put("keyed.quarantine", "mark/" + std::string(32, 'a'),
                  records.quarantine());
        store.put("keyed.quarantine", "daemon/d9", records.quarantine());
        store.put("keyed.daemons", "d" + std::to_string(round % 20 + 10),
                  records.text());
        store.put("keyed.versions", "app\n%+&" + std::to_string(round % 20),
                  records.text());
        store.put("keyed.lease", "placement", records.lease());
    };
    for (auto round = 0; round < rounds; ++round) {
        put_round(round);
    }
    auto daemons = std::vector<std::unique_ptr<daemon_process>>{};
    for (const auto* name : {"d0", "d1"}) {
        daemons.push_back(std::make_unique<daemon_process>(
            daemon_options{.name_ = name,
                           .directory_ = directory.string(),
                           .store_address_ = store.address(),
                           .picks_ports_ = true}));
    }
    auto ended = std::promise<void>{};
    auto round = 0;
    thread.every(milliseconds{4}, [&] {
        if (round < rounds) {
            put_round(round);
        }
        if (++round == rounds) {
            thread.after(settling_time, [&] { ended.set_value(); });
        }
    });
    thread.start();
    ended.get_future().wait();
    for (const auto& daemon : daemons) {
        EXPECT_FALSE(daemon->ended()) << daemon->unexpected_end();
    }
    for (const auto* name : {"d0", "d1"}) {
        EXPECT_TRUE(has_read_records(directory / (std::string{name} + ".log")))
            << name;
    }
    daemons.clear();
    thread.stop();
    std::filesystem::remove_all(directory);
}

INSTANTIATE_TEST_SUITE_P(seeds, foreign_records, ::testing::Range(1, 4));

} // namespace
} // namespace basilstream::testing
