// No case, as no page lets runners do so: runners run submissions and answer some
// of them 503 without `Basilstream-Not-Executed`.
//
//     answers-3 PROGRAM DIRECTORY TROUBLE
//
// Exits with 1 if a client was told that a submission has not run which has,
// with 0 if not, with 2 if the deployment did not come up.
#include "world-3.h"

using namespace review3;

namespace {

constexpr int machines = 2;
constexpr int runners = 3;
constexpr int requests = 120;
// Share of the requests that a runner fails, as `srv_grey` does.
constexpr double failed_share = 0.45;

store the_store;
bool trouble = true;
std::mutex notes_mutex;
std::map<string, int> runs;           // by request id
std::map<string, int> submissions;    // runs by the submission in the body
std::atomic<int> running_number{0};

void answer_submission(const message& request, const string& id, conn& c) {
    int number = 0;
    {
        std::lock_guard<std::mutex> hold(notes_mutex);
        ++runs[id];
        ++submissions[request.body];
        number = running_number++;
    }
    const bool fails = trouble && number % 20 < 20 * failed_share;
    const string body = fails ? "the database of submissions is away" : "accepted: " + request.body;
    const string status = fails ? "503 Service Unavailable" : "200 OK";
    record("runner runs %s (%s): %s", id.c_str(), request.body.c_str(), status.c_str());
    sleep_ms(10);
    c.send_all("HTTP/1.1 " + status + "\r\nBasilstream-Request-Id: " + id + "\r\nBasilstream-Response-Signature: " + id +
               "." + status.substr(0, 3) + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

void run_requests(const string& name, std::shared_ptr<conn> c) {
    while (true) {
        message request;
        if (!c->read(request, now_s() + 60, false)) return;
        const string id = request.get("Basilstream-Request-Id");
        if (request.target() == "/health") {
            c->send_all("HTTP/1.1 200 OK\r\nBasilstream-Instance-Id: " + name + "\r\nContent-Length: 0\r\n\r\n");
        } else if (request.get("Basilstream-Expect-Instance") != name) {
            c->send_all("HTTP/1.1 421 X\r\nBasilstream-Request-Id: " + id + "\r\nBasilstream-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        } else {
            answer_submission(request, id, *c);
        }
    }
}

message ask(const string& address, const string& id, const string& body) {
    message answer;
    conn c(dial(address));
    if (c.fd < 0) return answer;
    c.send_all("POST /r/1 HTTP/1.1\r\nHost: x\r\nBasilstream-Request-Id: " + id +
               "\r\nBasilstream-Deadline-Milliseconds: 2500\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    c.read(answer, now_s() + 4, true);
    return answer;
}

// Sends submissions; repeats one only after a promise that it has not run.
int send_submissions(const std::vector<string>& addresses) {
    int refused_and_run = 0, repeated = 0;
    for (int number = 0; number < requests; ++number) {
        const string body = "submission " + std::to_string(number);
        for (int attempt = 0; attempt < 2; ++attempt) {
            const string id = "q" + std::to_string(number) + "-" + std::to_string(attempt);
            const auto answer = ask(addresses[(size_t)number % addresses.size()], id, body);
            std::lock_guard<std::mutex> hold(notes_mutex);
            record("client gets %d for %s, not executed %d, signature %s", answer.status(), id.c_str(),
                   (int)answer.has("Basilstream-Not-Executed"), answer.get("Basilstream-Response-Signature").c_str());
            const int status = answer.status();
            const bool promise = status == 503 || status == 429 || status == 408 || status == 421;
            refused_and_run += promise && runs[id] > 0 ? 1 : 0;
            if (!promise) break;
            repeated += attempt == 0 ? 1 : 0;
        }
    }
    int twice = 0;
    for (const auto& [body, count] : submissions) twice += count > 1 ? 1 : 0;
    record("answered 503 (429, 408, 421) and run: %d; repeated: %d; submissions that ran twice: %d", refused_and_run, repeated, twice);
    printf("refused and run %d, submissions run twice %d\n", refused_and_run, twice);
    return refused_and_run;
}

}  // namespace

int main(int argc, char** argv) {
    if (argc != 4) return 2;
    const string program = argv[1], directory = argv[2];
    trouble = string(argv[3]) != "0";
    signal(SIGPIPE, SIG_IGN);
    record_file = fopen((directory + "/record.txt").c_str(), "w");
    const string network = "127." + std::to_string(20 + getpid() % 200) + "." + std::to_string(getpid() / 200 % 250) + ".";
    if (!the_store.start(network + "1")) return 2;
    the_store.put("keyed.op", "config",
                  "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"x\",\"pathPrefix\":\"/r/\",\"kind\":\"non_idempotent"
                      "\",\"timeoutMs\":2500,\"targetLatencyMs\":150,\"priority\":1,\"service\":\"app\",\"attempts\":1}],"
                      "\"services\":[{\"name\":\"app\",\"healthPath\":\"/health\",\"connectionLimit\":100}],"
                      "\"limits\":{\"headerBytes\":16384,\"bodyBytes\":1048576,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}");
    std::vector<std::unique_ptr<server>> stand_ins;
    for (int i = 0; i < runners; ++i) {
        const string name = "app-" + std::to_string(i);
        stand_ins.push_back(std::make_unique<server>());
        if (!stand_ins.back()->start(network + "2:0", [name](std::shared_ptr<conn> c) { run_requests(name, c); })) return 2;
        the_store.put("keyed.servers", name,
                      "{\"service\":\"app\",\"address\":\"" + stand_ins.back()->address +
                          "\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"coldLeftMs\":0,\"sequence\":0,\"born\":" +
                          std::to_string(unix_ms()) + "}");
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
        up = daemons[0]->is_ready() && daemons[1]->is_ready();
        sleep_ms(50);
    }
    sleep_ms(3500);
    const int broken = !up ? 0 : send_submissions(addresses);
    for (auto& d : daemons) {
        d->sig(SIGKILL);
        d->wait_end(2000);
    }
    record("%s", !up ? "the case could not run" : broken > 0 ? "broken" : "kept");
    fflush(stdout);
    _exit(!up ? 2 : broken > 0 ? 1 : 0);
}
