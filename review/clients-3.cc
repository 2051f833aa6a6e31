// Cases 13 and 14: clients that we do not control send requests within
// `limits.headerBytes`. heads: many connections with a part of a head, of very
// short fields. models, ids: whole requests with long names in them. The
// platform's stand-in ends a process that exceeds `memoryMb` and starts it again.
//
//     clients-3 PROGRAM DIRECTORY (heads|models|ids) TROUBLE
//
// Exits with 1 if processes on two machines ended three times, else with 0; 2
// if the deployment did not come up.
#include "world-3.h"

using namespace review3;

namespace {

constexpr int machines = 3;
// A machine of angebotswerk-muc.
constexpr int memory_mb = 260;
constexpr rlim_t descriptors = 4100;
constexpr int requests_per_s = 750;
constexpr int ordinary_per_s = 20;
constexpr size_t long_name = 15500;
constexpr int open_heads = 1000;
constexpr size_t head_bytes_sent = 16000;
// Less than `headerTimeoutMs`.
constexpr int head_pause_ms = 2500;
constexpr double longest_s = 95;

store the_store;
std::vector<std::unique_ptr<daemon_proc>> daemons;
std::mutex daemons_mutex;
std::atomic<bool> over{false};

// A runner of one model; each answer is a stream of one event.
void run_requests(std::shared_ptr<conn> c) {
    while (true) {
        message request;
        if (!c->read(request, now_s() + 60, false)) return;
        string head = "HTTP/1.1 200 OK\r\n", body;
        if (request.target() == "/basilstream/report") {
            body = "{\"stage\":\"both\",\"models\":[{\"name\":\"m0\",\"version\":1,\"adapters\":[]}],"
                   "\"busy\":false,\"sequence\":0,\"waiting\":0,\"running\":0,\"kvUsed\":0,"
                   "\"kvTotal\":90000,\"handles\":0}";
        } else if (request.target() == "/health") {
            head += "Basilstream-Instance-Id: r0\r\n";
        } else {
            body = "id: 1\ndata: a\n\n";
            head += "Content-Type: text/event-stream\r\nBasilstream-Request-Id: " +
                    request.get("Basilstream-Request-Id") + "\r\nBasilstream-Response-Signature: s\r\n";
        }
        if (!c->send_all(head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body)) return;
    }
}

string config() {
    return "{\"version\":1,\"routes\":[{\"name\":\"e\",\"host\":\"x\",\"pathPrefix\":\"/e/\",\"kind\":\"streaming\","
           "\"timeoutMs\":8000,\"targetLatencyMs\":400,\"priority\":1,\"service\":\"eng\",\"attempts\":2,"
           "\"resumable\":true}],\"services\":[{\"name\":\"eng\",\"healthPath\":\"/health\",\"connectionLimit\":200,"
           "\"engine\":{\"slots\":16,\"kvCacheTokens\":100000,\"weightsMb\":250,\"adapterSlots\":4,\"loadsPerS\":4,"
           "\"models\":[{\"name\":\"m0\",\"weightsMb\":100,\"loadTimeS\":1,\"adapters\":0,\"adapterMb\":1}]}}],"
           "\"limits\":{\"headerBytes\":16384,\"bodyBytes\":1048576,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
}

// Sends one request on a kept connection; returns the status, 0 without answer.
int ask(std::unique_ptr<conn>& kept, const string& address, const string& id, const string& model, int& head_bytes) {
    if (!kept || kept->fd < 0) kept = std::make_unique<conn>(dial(address, 300));
    if (kept->fd < 0) return 0;
    string head = "POST /e/1 HTTP/1.1\r\nHost: x\r\nBasilstream-Request-Id: " + id +
                  "\r\nBasilstream-Deadline-Milliseconds: 2000\r\nBasilstream-Model: " + model +
                  "\r\nBasilstream-Token-Counts: 100,50\r\nContent-Length: 0\r\n\r\n";
    head_bytes = (int)head.size();
    message answer;
    bool whole = kept->send_all(head) && kept->read(answer, now_s() + 3, true);
    if (!whole || lower(answer.get("Connection")) == "close") kept.reset();
    return whole ? answer.status() : 0;
}

string unlike(const string& prefix, long number, size_t length) {
    string name = prefix + std::to_string(number);
    return name + string(length > name.size() ? length - name.size() : 0, 'x');
}

// The clients that we do not control: one at each machine.
void send_many(const string& mode, bool trouble, size_t machine) {
    std::unique_ptr<conn> kept;
    std::map<int, long> statuses;
    const double from = now_s();
    const string name = "x" + std::to_string(machine) + "-";
    long number = 0;
    int head_bytes = 0, largest = 0;
    while (!over) {
        ++number;
        string model = trouble && mode == "models" ? unlike(name, number, long_name) : "m0";
        string id = trouble && mode == "ids" ? unlike(name, number, long_name) : name + std::to_string(number);
        ++statuses[ask(kept, daemons[machine]->callers(), id, model, head_bytes)];
        largest = std::max(largest, head_bytes);
        const double ahead = from + number * machines / (double)requests_per_s - now_s();
        if (ahead > 0) sleep_ms((int)(ahead * 1000));
    }
    string text;
    for (auto& [status, count] : statuses) text += " " + std::to_string(status) + ": " + std::to_string(count);
    record("requests at %s: %ld, largest head %d bytes, statuses%s", daemons[machine]->name.c_str(), number, largest, text.c_str());
}

// Opens connections, sends a part of a head on each, closes them and begins
// again. Without trouble the same bytes are one field.
void send_heads(bool trouble, size_t machine) {
    string head = "GET /e/1 HTTP/1.1\r\nHost: x\r\n";
    if (trouble)
        while (head.size() < head_bytes_sent) head += "a:\r\n";
    else
        head += "a: " + string(head_bytes_sent - head.size(), 'x') + "\r\n";
    long sent = 0;
    while (!over) {
        std::vector<std::unique_ptr<conn>> open;
        for (int i = 0; i < open_heads && !over; ++i) {
            auto c = std::make_unique<conn>(dial(daemons[machine]->callers(), 300));
            if (c->fd < 0) break;
            sent += c->send_all(head) ? 1 : 0;
            open.push_back(std::move(c));
        }
        for (int waited = 0; waited < head_pause_ms && !over; waited += 100) sleep_ms(100);
        open.clear();
        sleep_ms(500);
    }
    record("parts of heads sent to %s: %ld of %zu bytes", daemons[machine]->name.c_str(), sent, head.size());
}

// Ordinary clients of the same deployment, on all machines in turn.
void send_ordinary() {
    std::map<int, long> statuses;
    std::vector<std::unique_ptr<conn>> kept(machines);
    int bytes = 0;
    for (long number = 0; !over; ++number) {
        size_t at = (size_t)number % machines;
        ++statuses[ask(kept[at], daemons[at]->callers(), "o" + std::to_string(number), "m0", bytes)];
        sleep_ms(1000 / ordinary_per_s);
    }
    string text;
    for (auto& [status, count] : statuses) text += " " + std::to_string(status) + ": " + std::to_string(count);
    record("ordinary requests, statuses%s", text.c_str());
}

}  // namespace

int main(int argc, char** argv) {
    if (argc != 5) return 2;
    const string program = argv[1], directory = argv[2], mode = argv[3];
    const bool trouble = string(argv[4]) != "0";
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
    the_store.put("keyed.op", "config", config());
    the_store.put("keyed.servers", "r0",
                  "{\"service\":\"eng\",\"address\":\"" + runner.address +
                      "\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":16,\"state\":\"ready\",\"coldLeftMs\":0,"
                      "\"sequence\":0,\"born\":" + std::to_string(unix_ms()) +
                      ",\"models\":[{\"name\":\"m0\",\"version\":1,\"adapters\":[]}]}");
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
    bool ready = false;
    for (int i = 0; i < 200 && !ready; ++i) {
        ready = true;
        for (auto& d : daemons) ready = ready && d->is_ready();
        sleep_ms(50);
    }
    sleep_ms(2500);
    std::unique_ptr<conn> first;
    int bytes = 0;
    const bool served = ready && ask(first, daemons[1]->callers(), "first", "m0", bytes) == 200;
    record("deployment ready %d, a first request is served %d", (int)ready, (int)served);
    std::vector<int> ends(machines);
    long peak[machines] = {};
    int machines_thrice = 0;
    if (served) {
        std::vector<std::thread> clients;
        for (size_t i = 0; i < machines; ++i) {
            if (mode == "heads")
                clients.emplace_back(send_heads, trouble, i);
            else
                clients.emplace_back(send_many, mode, trouble, i);
        }
        clients.emplace_back(send_ordinary);
        const double until = now_s() + longest_s;
        double next_line = now_s();
        while (now_s() < until && machines_thrice < 2) {
            sleep_ms(100);
            machines_thrice = 0;
            for (int i = 0; i < machines; ++i) {
                auto& d = *daemons[(size_t)i];
                const long used = d.memory_used();
                peak[i] = std::max(peak[i], used);
                if (used > memory_mb) {
                    record("%s uses %ld MB of %d: ended by the platform", d.name.c_str(), used, memory_mb);
                    ++ends[(size_t)i];
                    d.sig(SIGKILL);
                    d.wait_end(2000);
                    sleep_ms(300);
                    d.start();
                } else if (d.wait_end(0)) {
                    ++ends[(size_t)i];
                    d.start();
                }
                machines_thrice += ends[(size_t)i] >= 3 ? 1 : 0;
            }
            if (now_s() > next_line) {
                next_line += 5;
                record("memory used, MB: %ld %ld %ld", daemons[0]->memory_used(), daemons[1]->memory_used(), daemons[2]->memory_used());
            }
        }
        over = true;
        for (auto& client : clients) client.join();
    }
    for (auto& d : daemons) {
        d->sig(SIGKILL);
        d->wait_end(2000);
    }
    record("ends of processes: %d %d %d; most memory, MB: %ld %ld %ld", ends[0], ends[1], ends[2], peak[0], peak[1], peak[2]);
    record("%s", !served ? "the case could not run" : machines_thrice >= 2 ? "Fault: broken" : "Fault: kept");
    printf("ends %d %d %d, peak MB %ld %ld %ld: %s\n", ends[0], ends[1], ends[2], peak[0], peak[1], peak[2],
           !served ? "could not run" : machines_thrice >= 2 ? "broken" : "kept");
    fflush(stdout);
    _exit(!served ? 2 : machines_thrice >= 2 ? 1 : 0);
}
