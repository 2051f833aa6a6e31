// Case 11: the runners of a service crash one after the other, and each is back
// under its id in another version of its software. Without trouble each of them
// drains first.
//
//     versions-3 PROGRAM DIRECTORY TROUBLE
//
// Exits with 1 if more than two streams hold events of two versions, with 0 if
// not, with 2 if the deployment did not come up.
#include "world-3.h"

using namespace review3;

namespace {

constexpr int machines = 4;
constexpr int runners = 8;
constexpr int clients = 80;
constexpr int events = 30;
constexpr int event_ms = 100;
constexpr int drain_ms = 2000;
constexpr int crash_ms = 2000;

store the_store;
std::mutex notes_mutex;
std::atomic<bool> over{false};
std::atomic<int> begun{0}, whole{0}, taken_up{0}, gone_on{0}, refused{0};
std::vector<string> mixed;

// A runner of a service without models. It writes its entry before it serves, at
// each start.
struct runner {
    string id, address, version = "v1";
    server net;
    std::atomic<int> running{0};
    long born = 0;

    string entry(const string& state) const {
        return "{\"service\":\"writer\",\"address\":\"" + address + "\",\"zone\":\"a\",\"version\":\"" + version +
               "\",\"slots\":32,\"state\":\"" + state + "\",\"coldLeftMs\":0,\"sequence\":0,\"born\":" + std::to_string(born) + "}";
    }
    bool start(const string& where) {
        born = unix_ms();
        if (!address.empty()) the_store.put("keyed.servers", id, entry("ready"));
        if (!net.start(address.empty() ? where : address, [this](std::shared_ptr<conn> c) { serve(*c); })) return false;
        address = net.address;
        the_store.put("keyed.servers", id, entry("ready"));
        record("%s starts in version %s", id.c_str(), version.c_str());
        return true;
    }
    void crash() {
        record("%s crashes", id.c_str());
        net.stop(true);
    }
    // A planned end: the runner says that it drains, and ends with its last stream.
    void leave() {
        the_store.put("keyed.servers", id, entry("draining"));
        record("%s drains", id.c_str());
        sleep_ms(drain_ms);
        while (running > 0) sleep_ms(20);
        net.stop(false);
        record("%s ends", id.c_str());
    }
    void wait_healthy() const {
        for (int i = 0; i < 50; ++i, sleep_ms(20)) {
            conn c(dial(address));
            message answer;
            if (c.fd >= 0 && c.send_all("GET /health HTTP/1.1\r\nHost: x\r\n\r\n") && c.read(answer, now_s() + 0.5, true) && answer.status() == 200)
                return;
        }
    }
    void serve(conn& c) {
        while (true) {
            message request;
            if (!c.read(request, now_s() + 60, false)) return;
            const string request_id = request.get("Basilstream-Request-Id");
            if (request.target() == "/health") {
                c.send_all("HTTP/1.1 200 OK\r\nBasilstream-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
            } else if (request.get("Basilstream-Expect-Instance") != id) {
                c.send_all("HTTP/1.1 421 X\r\nBasilstream-Instance-Id: " + id + "\r\nBasilstream-Request-Id: " + request_id +
                           "\r\nBasilstream-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            } else if (!stream(c, request, request_id)) {
                return;
            }
        }
    }
    bool stream(conn& c, const message& request, const string& request_id) {
        ++running;
        const std::shared_ptr<void> end(nullptr, [this](void*) { --running; });
        const int after = atoi(request.get("Last-Event-Id").c_str());
        const string made_by = version + " " + id;
        record("%s (%s) runs %s after event %d", id.c_str(), version.c_str(), request_id.c_str(), after);
        if (!c.send_all("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nBasilstream-Request-Id: " + request_id +
                        "\r\nBasilstream-Response-Signature: " + request_id + "." + id + "\r\nTransfer-Encoding: chunked\r\n\r\n"))
            return false;
        for (int number = after + 1; number <= events; ++number) {
            sleep_ms(event_ms);
            const string text = "id: " + std::to_string(number) + "\ndata: " + made_by + "\n\n";
            char size[16];
            snprintf(size, sizeof size, "%zx\r\n", text.size());
            if (!c.send_all(size + text + "\r\n")) return false;
        }
        return c.send_all("0\r\n\r\n");
    }
};

// The events that a client has got of one stream, over its tries.
struct stream_state {
    string name, first_id, text;
    int last = 0;
    std::set<string> versions;
    void take(const string& piece) {
        text += piece;
        for (size_t end; (end = text.find("\n\n")) != string::npos; text.erase(0, end + 2)) {
            last = atoi(text.c_str() + 4);
            const auto data = text.find("data: ");
            versions.insert(text.substr(data + 6, 2));
        }
    }
};

// Sends a stream's request; returns whether the stream is whole.
bool attempt(const string& address, const string& id, stream_state& state) {
    conn c(dial(address));
    if (c.fd < 0) return false;
    string text = "POST /w/1 HTTP/1.1\r\nHost: x\r\nBasilstream-Request-Id: " + id + "\r\nBasilstream-Deadline-Milliseconds: 15000\r\n";
    if (state.last > 0)
        text += "Last-Event-Id: " + std::to_string(state.last) + "\r\nResumes: " + state.first_id + "\r\n";
    const int before = state.last;
    const string body = "text of " + state.name;
    c.send_all(text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    message answer;
    if (!c.head(answer, now_s() + 2)) return false;
    state.text.clear();
    if (answer.status() == 200)
        c.body(answer, now_s() + 15, true, [&](const string& piece) {
            state.take(piece);
            if (state.first_id.empty() && state.last > 0) state.first_id = id;
        });
    if (before > 0) {
        ++taken_up;
        if (state.last > before) ++gone_on;
    } else if (state.last > 0) {
        ++begun;
    }
    refused += answer.status() == 503 ? 1 : 0;
    return answer.status() == 200 && answer.complete && state.last == events;
}

void ask_all_the_time(int client, const std::vector<string>& addresses) {
    std::mt19937 random((unsigned)client);
    sleep_ms(client * 37);
    for (int number = 0; !over; ++number) {
        stream_state state;
        const string name = state.name = "q" + std::to_string(client) + "-" + std::to_string(number);
        bool done = false;
        for (int i = 0; i < 4 && !done; ++i) {
            const string id = name + "-" + std::to_string(i);
            done = attempt(addresses[random() % addresses.size()], id, state);
            if (!done) sleep_ms(100);
        }
        whole += done ? 1 : 0;
        if (state.versions.size() > 1) {
            std::lock_guard<std::mutex> hold(notes_mutex);
            record("stream %s holds events of two versions", name.c_str());
            mixed.push_back(name);
        }
        sleep_ms(20);
    }
}

}  // namespace

int main(int argc, char** argv) {
    if (argc != 4) return 2;
    const string program = argv[1], directory = argv[2];
    const bool trouble = string(argv[3]) != "0";
    signal(SIGPIPE, SIG_IGN);
    record_file = fopen((directory + "/record.txt").c_str(), "w");
    const string network = "127." + std::to_string(20 + getpid() % 200) + "." + std::to_string(getpid() / 200 % 250) + ".";
    if (!the_store.start(network + "1")) return 2;
    the_store.put("keyed.op", "config",
                  "{\"version\":1,\"routes\":[{\"name\":\"w\",\"host\":\"x\",\"pathPrefix\":\"/w/\",\"kind\":\"streaming\","
                  "\"timeoutMs\":15000,\"targetLatencyMs\":500,\"priority\":1,\"service\":\"writer\",\"attempts\":2,\"sticky\":false,"
                  "\"resumable\":true,\"targetGapMs\":300}],"
                  "\"services\":[{\"name\":\"writer\",\"healthPath\":\"/health\",\"connectionLimit\":230}],"
                  "\"limits\":{\"headerBytes\":16384,\"bodyBytes\":1048576,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}");
    std::vector<std::unique_ptr<runner>> all;
    for (int i = 0; i < runners; ++i) {
        all.push_back(std::make_unique<runner>());
        all.back()->id = "w-" + std::to_string(i);
        if (!all.back()->start(network + "2:0")) return 2;
    }
    std::vector<std::unique_ptr<daemon_proc>> daemons;
    std::vector<string> addresses;
    for (int i = 0; i < machines; ++i) {
        auto d = std::make_unique<daemon_proc>();
        d->name = "d" + std::to_string(i);
        d->ip = network + std::to_string(10 + i);
        d->dir = directory;
        d->program = program;
        d->store = the_store.net.address;
        d->start();
        addresses.push_back(d->callers());
        daemons.push_back(std::move(d));
    }
    bool up = false;
    for (int i = 0; i < 200 && !up; ++i) {
        up = std::all_of(daemons.begin(), daemons.end(), [](auto& d) { return d->is_ready(); });
        sleep_ms(50);
    }
    sleep_ms(1500);
    if (up) {
        std::vector<std::thread> threads;
        for (int i = 0; i < clients; ++i) threads.emplace_back([i, &addresses] { ask_all_the_time(i, addresses); });
        sleep_ms(4000);
        // One runner after the other: the next one goes once the last one answers.
        for (auto& each : all) {
            if (trouble) {
                each->crash();
                sleep_ms(crash_ms);
            } else {
                each->leave();
            }
            each->version = "v2";
            if (!each->start("")) record("%s does not start", each->id.c_str());
            each->wait_healthy();
        }
        over = true;
        for (auto& t : threads) t.join();
    }
    for (auto& d : daemons) {
        d->sig(SIGKILL);
        d->wait_end(2000);
    }
    record("streams begun %d, whole %d, taken up by clients %d, gone on %d, refused %d, of two versions %zu", begun.load(), whole.load(),
           taken_up.load(), gone_on.load(), refused.load(), mixed.size());
    printf("streams begun %d, whole %d, taken up by clients %d, gone on %d, refused %d, of two versions %zu\n", begun.load(), whole.load(),
           taken_up.load(), gone_on.load(), refused.load(), mixed.size());
    const bool broken = mixed.size() > 2;
    record("%s", !up ? "the case could not run" : broken ? "broken" : "kept");
    fflush(stdout);
    _exit(!up ? 2 : broken ? 1 : 0);
}
