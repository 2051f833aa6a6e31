// Case 15: many clients of one machine read their answers slowly, while others
// try to connect to it.
//
//     readers-3 PROGRAM DIRECTORY TROUBLE
//
// Exits with 1 if the machine said that it is ready and took no new connection
// for `stableWindowMs`, while seven clients or more tried; else with 0, or with
// 2 if the deployment did not come up.
#include "world-3.h"

using namespace review3;

namespace {

constexpr int machines = 2;
// A machine of angebotswerk-muc.
constexpr int memory_mb = 260;
constexpr rlim_t descriptors = 4100;
constexpr int slow_readers = 2600;
constexpr size_t answer_bytes = 30000;
constexpr int ordinary_clients = 10;
constexpr double stable_window_s = 3;
constexpr double length_s = 20;
constexpr double pause_s = 10;

store the_store;
std::vector<std::unique_ptr<daemon_proc>> daemons;
std::atomic<bool> over{false};
std::mutex notes_mutex;
struct attempt { int client; double at; int status; };
std::vector<attempt> attempts;
std::vector<std::pair<double, bool>> readiness;

void run_requests(std::shared_ptr<conn> c) {
    while (true) {
        message request;
        if (!c->read(request, now_s() + 60, false)) return;
        const string id = request.get("Basilstream-Request-Id");
        const string body(request.target() == "/i/report" ? answer_bytes : 800, 'x');
        if (!c->send_all("HTTP/1.1 200 OK\r\nBasilstream-Request-Id: " + id +
                         "\r\nBasilstream-Instance-Id: r0\r\nBasilstream-Response-Signature: s\r\nContent-Length: " +
                         std::to_string(body.size()) + "\r\n\r\n" + body)) return;
    }
}

string get(const string& path, const string& id, int deadline) {
    return "GET " + path + " HTTP/1.1\r\nHost: x\r\nBasilstream-Request-Id: " + id +
           "\r\nBasilstream-Deadline-Milliseconds: " + std::to_string(deadline) + "\r\n\r\n";
}

constexpr int not_connected = -1;

// Tries one request on a new connection: `not_connected` if this is not
// established in a second, 0 if the request is not answered in a second.
int try_once(const string& address, const string& id) {
    conn c(dial(address, 1000));
    if (c.fd < 0) return not_connected;
    const double until = now_s() + 1;
    message answer;
    if (!c.send_all(get("/i/lookup", id, 2500)) || !c.read(answer, until, true)) return 0;
    return answer.status();
}

void ordinary(int client) {
    for (int number = 0; !over; ++number) {
        const double at = now_s();
        const int status = try_once(daemons[0]->callers(), "o" + std::to_string(client) + "-" + std::to_string(number));
        {
            std::lock_guard<std::mutex> hold(notes_mutex);
            attempts.push_back({client, at, status});
        }
        record("client %d, new connection: %s after %.2f s", client,
               status == not_connected ? "not established" : status == 0 ? "established, no answer" : std::to_string(status).c_str(),
               now_s() - at);
        sleep_ms(400);
    }
}

void watch_readiness() {
    while (!over) {
        const double at = now_s();
        const bool ready = daemons[0]->is_ready();
        {
            std::lock_guard<std::mutex> hold(notes_mutex);
            readiness.push_back({at, ready});
        }
        record("readiness: %d", ready ? 200 : 0);
        sleep_ms(500);
    }
}

// Opens connections with a small window and asks for a report on each. The
// clients take nothing of it for a while, and then all of it; without trouble
// they take it at once.
void read_slowly(bool trouble) {
    std::vector<std::unique_ptr<conn>> readers;
    std::atomic<int> whole{0};
    auto take = [&](conn& c) {
        message answer;
        whole += c.read(answer, now_s() + 2, true) && answer.body.size() == answer_bytes ? 1 : 0;
    };
    for (int i = 0; i < slow_readers && !over; ++i) {
        // The last one is that whose connection is not established in a second.
        auto c = std::make_unique<conn>(dial(daemons[0]->callers(), 1000, 2048));
        if (c->fd < 0) break;
        c->send_all(get("/i/report", "s" + std::to_string(i), 15000));
        if (!trouble) take(*c);
        readers.push_back(std::move(c));
        if (i % 20 == 19) sleep_ms(20);
    }
    record("%zu clients have asked for a report of %zu bytes", readers.size(), answer_bytes);
    if (trouble) {
        sleep_ms((int)(pause_s * 1000));
        record("they read on");
        std::vector<std::thread> threads;
        for (auto& reader : readers) threads.emplace_back([&take, &reader] { take(*reader); });
        for (auto& thread : threads) thread.join();
    }
    record("whole reports: %d", whole.load());
}

// Returns the longest span without a new connection in which the machine was
// ready throughout and seven clients or more tried.
double longest_refusal() {
    std::sort(attempts.begin(), attempts.end(), [](const attempt& a, const attempt& b) { return a.at < b.at; });
    double longest = 0;
    for (size_t first = 0; first < attempts.size(); ++first) {
        std::set<int> clients;
        for (size_t last = first; last < attempts.size() && attempts[last].status == not_connected; ++last) {
            clients.insert(attempts[last].client);
            const double from = attempts[first].at, until = attempts[last].at + 1;
            const bool ready = std::all_of(readiness.begin(), readiness.end(), [&](const auto& row) {
                return row.first < from || row.first > until || row.second;
            });
            if (ready && clients.size() >= 7) longest = std::max(longest, until - from);
        }
    }
    return longest;
}

}  // namespace

int main(int argc, char** argv) {
    if (argc != 4) return 2;
    const string program = argv[1], directory = argv[2];
    const bool trouble = string(argv[3]) != "0";
    signal(SIGPIPE, SIG_IGN);
    // Descriptors of a machine, for daemons and clients.
    rlimit files{};
    getrlimit(RLIMIT_NOFILE, &files);
    files.rlim_cur = std::min<rlim_t>(files.rlim_max, descriptors);
    setrlimit(RLIMIT_NOFILE, &files);
    record_file = fopen((directory + "/record.txt").c_str(), "w");
    const string network = "127." + std::to_string(20 + getpid() % 200) + "." + std::to_string(getpid() / 200 % 250) + ".";
    server runner;
    if (!the_store.start(network + "1") || !runner.start(network + "2:0", run_requests)) return 2;
    the_store.put("keyed.op", "config",
                  "{\"version\":1,\"routes\":[{\"name\":\"i\",\"host\":\"x\",\"pathPrefix\":\"/i/\",\"kind\":\"idempotent\","
                  "\"timeoutMs\":15000,\"targetLatencyMs\":150,\"priority\":1,\"service\":\"app\",\"attempts\":2}],"
                  "\"services\":[{\"name\":\"app\",\"healthPath\":\"/health\",\"connectionLimit\":600}],"
                  "\"limits\":{\"headerBytes\":16384,\"bodyBytes\":1048576,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}");
    the_store.put("keyed.servers", "r0",
                  "{\"service\":\"app\",\"address\":\"" + runner.address +
                      "\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"coldLeftMs\":0,"
                      "\"sequence\":0,\"born\":" + std::to_string(unix_ms()) + "}");
    for (int i = 0; i < machines; ++i) {
        auto d = std::make_unique<daemon_proc>();
        d->name = "d" + std::to_string(i);
        d->ip = network + std::to_string(10 + i);
        d->dir = directory;
        d->program = program;
        d->store = the_store.net.address;
        d->memory_mb = memory_mb;
        d->start();
        daemons.push_back(std::move(d));
    }
    bool up = false;
    for (int i = 0; i < 200 && !up; ++i) {
        up = daemons[0]->is_ready() && daemons[1]->is_ready();
        sleep_ms(50);
    }
    sleep_ms((int)(stable_window_s * 1000));
    up = up && try_once(daemons[0]->callers(), "first") == 200;
    record("deployment up: %d", (int)up);
    double longest = 0;
    if (up) {
        std::vector<std::thread> threads;
        for (int i = 0; i < ordinary_clients; ++i) threads.emplace_back(ordinary, i);
        threads.emplace_back(watch_readiness);
        sleep_ms(2000);
        threads.emplace_back(read_slowly, trouble);
        sleep_ms((int)(length_s * 1000));
        over = true;
        for (auto& thread : threads) thread.join();
        longest = longest_refusal();
    }
    const bool ended = daemons[0]->wait_end(0);
    for (auto& d : daemons) {
        d->sig(SIGKILL);
        d->wait_end(2000);
    }
    const bool broken = longest >= stable_window_s;
    record("longest time ready without a new connection: %.1f s; memory limit %d MB; process ended %d", longest, memory_mb, (int)ended);
    record("%s", !up ? "the case could not run" : broken ? "RECOVER: broken" : "RECOVER: kept");
    printf("longest %.1f s: %s\n", longest, !up ? "could not run" : broken ? "broken" : "kept");
    fflush(stdout);
    _exit(!up ? 2 : broken ? 1 : 0);
}
