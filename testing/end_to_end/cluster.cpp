#include "testing/end_to_end/cluster.hpp"

#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <future>
#include <thread>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "testing/answer_check/answer_check.hpp"

namespace basilstream::testing {
namespace {

using nlohmann::json;

struct streamed_answer {
    int status_ = 0;
    std::string body_ = {};
    std::string broken_ = {};
};

constexpr auto poll_period = milliseconds{10};
constexpr auto patience = seconds{60};
constexpr auto call_timeout = seconds{60};
constexpr auto zones = std::array{"zone-a", "zone-b", "zone-c"};

[[noreturn]] auto run_child(const std::string& path,
                            std::vector<char*>& arguments, int output) -> void {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::dup2(output, STDOUT_FILENO);
    auto none = sigset_t{};
    ::sigemptyset(&none);
    ::sigprocmask(SIG_SETMASK, &none, nullptr);
    ::execv(path.c_str(), arguments.data());
    ::_exit(127);
}

auto read_line(int descriptor) -> std::string {
    auto line = std::string{};
    auto letter = char{};
    while (::read(descriptor, &letter, 1) == 1 && letter != '\n') {
        line += letter;
    }
    return line;
}

// Collects a streamed answer, also one that breaks off.
class collecting_sink final : public transport::http_sink {
public:
    explicit collecting_sink(std::promise<streamed_answer> done)
        : done_{std::move(done)} {}

    auto on_response(int status, const std::map<std::string, std::string>&)
        -> void override {
        answer_.status_ = status;
    }
    auto on_data(std::string_view data) -> bool override {
        answer_.body_.append(data);
        return true;
    }
    auto on_end(const transport::call_end& end) -> void override {
        answer_.broken_ = end.error_ ? end.error_->to_string() : "";
        done_.set_value(std::move(answer_));
    }

private:
    std::promise<streamed_answer> done_;
    streamed_answer answer_;
};

auto make_directory() -> std::string {
    auto name = std::filesystem::temp_directory_path() / "basilstream-XXXXXX";
    auto text = name.string();
    return ::mkdtemp(text.data()) == nullptr ? std::string{} : text;
}

auto write_file(const std::string& path, const json& document) -> void {
    auto file = std::ofstream{path};
    file << document.dump(2);
}

} // namespace

child_process::child_process(const std::string& path,
                             const std::vector<std::string>& arguments) {
    auto pointers = std::vector<char*>{const_cast<char*>(path.c_str())};
    for (const auto& argument : arguments) {
        pointers.push_back(const_cast<char*>(argument.c_str()));
    }
    pointers.push_back(nullptr);
    auto pipe_ends = std::array<int, 2>{};
    if (::pipe2(pipe_ends.data(), O_CLOEXEC) != 0) {
        return;
    }
    pid_ = ::fork();
    if (pid_ == 0) {
        run_child(path, pointers, pipe_ends[1]);
    }
    ::close(pipe_ends[1]);
    output_ = pipe_ends[0];
    line_ = read_line(output_);
}

child_process::~child_process() {
    if (!ended()) {
        signal(SIGKILL);
        wait();
    }
    ::close(output_);
}

auto child_process::announced(const std::string& key) const -> std::string {
    const auto found = line_.find(key);
    if (found == std::string::npos) {
        return {};
    }
    const auto begin = found + key.size();
    return line_.substr(begin, line_.find(' ', begin) - begin);
}

auto child_process::signal(int number) -> void {
    if (!ended_ && pid_ > 0) {
        ::kill(pid_, number);
    }
}

auto child_process::ended() -> bool {
    auto status = 0;
    if (!ended_ && ::waitpid(pid_, &status, WNOHANG) == pid_) {
        take_status(status);
    }
    return ended_;
}

auto child_process::wait() -> int {
    auto status = 0;
    if (!ended_ && ::waitpid(pid_, &status, 0) == pid_) {
        take_status(status);
    }
    return status_;
}

auto child_process::take_status(int status) -> void {
    ended_ = true;
    status_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

cluster::cluster(cluster_options options)
    : options_{std::move(options)}, directory_{make_directory()}, client_{
                                                                      "test"} {
    log_ = std::make_unique<child_process>(FAKE_LOG_PATH,
                                           std::vector<std::string>{});
    service_ = std::make_unique<child_process>(FAKE_SERVICE_PATH,
                                               std::vector<std::string>{});
    auto vms = json::array();
    vms.push_back({{"name", "service-0"},
                   {"address", service_address()},
                   {"kind", "service"},
                   {"zone", zones[0]},
                   {"state", "live"},
                   {"service", "acme/tenders"}});
    for (auto index = std::size_t{0}; index < options_.runners_; ++index) {
        runners_.push_back(std::make_unique<child_process>(
            FAKE_RUNNER_PATH, options_.runner_arguments_));
        vms.push_back({{"name", "runner-" + std::to_string(index)},
                       {"address", runner_address(index)},
                       {"kind", "runner"},
                       {"zone", zones[index % zones.size()]},
                       {"state", "live"},
                       {"memory_bytes", 80'000'000'000}});
    }
    write_file(directory_ + "/vms.json", vms);
    vm_list_ = std::make_unique<child_process>(
        FAKE_VM_LIST_PATH,
        std::vector<std::string>{"--file", directory_ + "/vms.json"});
    for (auto index = std::size_t{0}; index < options_.daemons_; ++index) {
        start_daemon();
    }
}

cluster::~cluster() {
    daemons_.clear();
    runners_.clear();
    std::filesystem::remove_all(directory_);
}

auto cluster::start_daemon() -> std::size_t {
    const auto index = daemons_.size();
    const auto name = "entry-" + std::to_string(index);
    const auto endpoint = json{{"address", "127.0.0.1"}, {"port", 0}};
    auto settings =
        json{{"name", name},
             {"zone", zones[index % zones.size()]},
             {"caller", endpoint},
             {"admin", endpoint},
             {"peer", endpoint},
             {"platform",
              {{"log_url", "http://" + log_address()},
               {"vm_list_url", "http://" + vm_list_->announced("listening ")}}},
             {"endpoint_time_to_live_ms", 500},
             {"logging", {{"level", "warning"}}}};
    if (!peer_seed_.empty()) {
        settings["peer"]["seeds"] = json::array({peer_seed_});
    }
    settings.merge_patch(options_.settings_);
    const auto path = directory_ + "/" + name + ".json";
    write_file(path, settings);
    daemons_.push_back(std::make_unique<child_process>(
        BASILSTREAMD_PATH, std::vector<std::string>{"--config", path}));
    const auto peer = daemons_.back()->announced("peers=");
    if (peer_seed_.empty()) {
        peer_seed_ = peer;
    }
    call(vm_list_->announced("listening "), "/testing/vm",
         json{{"name", name},
              {"address", caller_address(index)},
              {"peer_address", peer},
              {"kind", "entry"},
              {"zone", zones[index % zones.size()]},
              {"state", "live"}}
             .dump());
    return index;
}

auto cluster::apply(const json& resources) -> int {
    const auto path = directory_ + "/resources.json";
    write_file(path, resources);
    auto admins = std::string{};
    for (auto& each : daemons_) {
        if (!each->ended()) {
            admins += (admins.empty() ? "" : ",") + each->announced("admin=");
        }
    }
    auto command =
        child_process{BASILCTL_PATH,
                      {"--log", "http://" + log_address(), "--admin", admins,
                       "--timeout", "60", "-f", path, "apply"}};
    return command.wait();
}

auto cluster::caller_address(std::size_t daemon) const -> std::string {
    return daemons_.at(daemon)->announced("callers=");
}

auto cluster::runner_address(std::size_t runner) const -> std::string {
    return runners_.at(runner)->announced("listening ");
}

auto cluster::service_address() const -> std::string {
    return service_->announced("listening ");
}

auto cluster::log_address() const -> std::string {
    return log_->announced("listening ");
}

auto cluster::call(const std::string& address, const std::string& path,
                   const std::string& body,
                   std::vector<std::pair<std::string, std::string>> headers)
    -> result<transport::http_reply> {
    auto wanted = transport::http_call{};
    wanted.method_ = body.empty() ? "GET" : "POST";
    wanted.url_ = "http://" + address + path;
    wanted.headers_ = std::move(headers);
    wanted.body_ = body;
    wanted.total_timeout_ = call_timeout;
    return client_.fetch_wait(std::move(wanted));
}

auto cluster::call_json(const std::string& address, const std::string& path,
                        const std::string& body) -> json {
    const auto reply = call(address, path, body);
    return reply ? json::parse(reply->body_, nullptr, false) : json{};
}

auto cluster::set_faults(const std::string& address, const json& faults)
    -> void {
    call(address, "/testing/faults", faults.dump());
}

auto cluster::complete(std::size_t daemon, const std::string& model,
                       const std::string& token, const std::string& prompt,
                       std::uint64_t max_tokens) -> std::string {
    const auto body = json{{"model", model},
                           {"prompt", prompt},
                           {"max_tokens", max_tokens},
                           {"stream", true}};
    auto wanted = transport::http_call{};
    wanted.method_ = "POST";
    wanted.url_ = "http://" + caller_address(daemon) + "/v1/completions";
    wanted.headers_ = {{"Authorization", "Bearer " + token}};
    wanted.body_ = body.dump();
    wanted.total_timeout_ = call_timeout;
    auto done = std::promise<streamed_answer>{};
    auto ended = done.get_future();
    client_.start(std::move(wanted),
                  std::make_shared<collecting_sink>(std::move(done)));
    const auto answer = ended.get();
    if (answer.status_ != 200) {
        const auto error = json::parse(answer.body_, nullptr, false);
        return error.is_object() ? error["error"].value("code", "")
                                 : "connection: " + answer.broken_;
    }
    const auto colon = model.find(':');
    const auto adapter =
        colon == std::string::npos ? "" : model.substr(colon + 1);
    auto check = answer_check{
        answer_format::caller,
        {token_stream{{model.substr(0, colon), adapter, "v1", prompt}}},
        max_tokens};
    check.take(answer.body_);
    auto verdict = check.verdict();
    if (verdict == "short_answer" && !answer.broken_.empty()) {
        return "broken: " + answer.broken_;
    }
    return verdict;
}

auto cluster::sum_of_books(const std::string& key) -> std::uint64_t {
    auto sum = std::uint64_t{0};
    for (auto& each : runners_) {
        if (!each->ended()) {
            const auto books =
                call_json(each->announced("listening "), "/testing/books");
            sum += books.is_object() ? books.value(key, std::uint64_t{0}) : 0;
        }
    }
    return sum;
}

auto eventually(const std::function<bool()>& condition) -> bool {
    const auto time = steady_clock{};
    const auto deadline = time.now() + patience;
    while (time.now() < deadline) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(poll_period);
    }
    return false;
}

} // namespace basilstream::testing
