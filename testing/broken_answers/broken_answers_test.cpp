// Runs complete daemons against servers whose answers are framed in all ways
// and break off at all places, and checks two promises: an answer that reaches
// its client as complete is whole, with each event once, and an answer that the
// first server sent whole reaches the client so.

#include <algorithm>
#include <array>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "basilstream/base/name_table/name_table.hpp"
#include "basilstream/base/random/random.hpp"
#include "basilstream/transport/head_syntax/head_syntax_samples.hpp"
#include "testing/raw_deployment/raw_deployment.hpp"

namespace basilstream::testing {
namespace {

constexpr auto request_id_field = "Basilstream-Request-Id";
constexpr auto stream_events = 8;
constexpr auto event_interval = milliseconds{15};
constexpr auto request_interval = milliseconds{8};
constexpr auto sending_time = seconds{6};
// The longest answer takes less, also with all of its attempts.
constexpr auto time_to_end = seconds{4};
// One answer in so many is sent whole.
constexpr auto whole_answer_interval = 3;

enum class framing { length, chunked, connection };
enum class cut {
    none,
    before_head,
    inside_head,
    before_first_event,
    inside_id,
    inside_line,
    after_line,
    between_events,
};
enum class ending {
    // The framing says that the answer is whole.
    complete,
    in_order,
    reset,
};

inline constexpr auto framing_names =
    name_table<framing, 3>{{{{framing::length, "length"},
                             {framing::chunked, "chunked"},
                             {framing::connection, "connection"}}}};
inline constexpr auto cut_names =
    name_table<cut, 8>{{{{cut::none, "none"},
                         {cut::before_head, "before_head"},
                         {cut::inside_head, "inside_head"},
                         {cut::before_first_event, "before_first_event"},
                         {cut::inside_id, "inside_id"},
                         {cut::inside_line, "inside_line"},
                         {cut::after_line, "after_line"},
                         {cut::between_events, "between_events"}}}};
inline constexpr auto ending_names =
    name_table<ending, 3>{{{{ending::complete, "complete"},
                            {ending::in_order, "in_order"},
                            {ending::reset, "reset"}}}};

// How a server answers.
struct behaviour {
    framing framing_ = framing::chunked;
    cut cut_ = cut::none;
    ending ending_ = ending::complete;

    [[nodiscard]] auto name() const -> std::string {
        return std::string{framing_names.name_of(framing_)} + "/" +
               std::string{cut_names.name_of(cut_)} + "/" +
               std::string{ending_names.name_of(ending_)};
    }
};

// Returns whether a client or an intermediary can tell that the answer is not
// whole.
auto tells_its_break(const behaviour& answer) -> bool {
    const auto cut_in_event = answer.cut_ == cut::inside_id ||
                              answer.cut_ == cut::inside_line ||
                              answer.cut_ == cut::after_line;
    const auto ends_with_connection = answer.framing_ == framing::connection &&
                                      answer.ending_ != ending::reset;
    // A generation has an event at least.
    const auto without_events =
        answer.cut_ == cut::before_first_event && ends_with_connection;
    const auto framed_as_whole =
        answer.ending_ == ending::complete || ends_with_connection;
    return cut_in_event || without_events || answer.cut_ <= cut::inside_head ||
           !framed_as_whole;
}

// Returns all answers that are broken off and tell so.
auto broken_behaviours() -> std::vector<behaviour> {
    auto all = std::vector<behaviour>{};
    for (auto how = 0; how < 3; ++how) {
        for (auto place = 1; place < 8; ++place) {
            for (auto end = 0; end < 3; ++end) {
                const auto answer = behaviour{static_cast<framing>(how),
                                              static_cast<cut>(place),
                                              static_cast<ending>(end)};
                const auto before_body = answer.cut_ == cut::before_head ||
                                         answer.cut_ == cut::inside_head;
                if (tells_its_break(answer) &&
                    !(before_body && answer.ending_ == ending::complete)) {
                    all.push_back(answer);
                }
            }
        }
    }
    return all;
}

// Returns event `number` of the stream at `path`. Every other stream ends its
// lines with CR LF.
auto event_text(const std::string& path, int number) -> std::string {
    const auto line_end = path.back() % 2 == 0 ? "\n" : "\r\n";
    return "id: " + std::to_string(number) + line_end + "data: word " +
           std::to_string(number) + " of " + path + line_end + line_end;
}

auto whole_stream(const std::string& path, int first = 1) -> std::string {
    auto text = std::string{};
    for (auto number = first; number <= stream_events; ++number) {
        text += event_text(path, number);
    }
    return text;
}

// Returns the part of an event that comes before the cut.
auto part_of_event(const std::string& event, cut place) -> std::string {
    const auto line_end = event.ends_with("\r\n") ? 2U : 1U;
    switch (place) {
    case cut::inside_id:
        return event.substr(0, 4);
    case cut::inside_line:
        return event.substr(0, event.find(" of ") + 5);
    case cut::after_line:
        return event.substr(0, event.size() - line_end);
    default:
        return {};
    }
}

struct scenario {
    const char* name_ = "";
    int daemons_ = 2;
};

// Sends one answer, event by event.
class answer_in_progress
    : public std::enable_shared_from_this<answer_in_progress> {
public:
    answer_in_progress(transport::reactor_thread& thread,
                       std::shared_ptr<raw_connection> connection,
                       const behaviour& how, std::string head,
                       std::vector<std::string> pieces)
        : thread_{thread}, connection_{std::move(connection)}, how_{how},
          pieces_{std::move(pieces)} {
        auto length = std::size_t{0};
        for (const auto& piece : pieces_) {
            length += piece.size();
        }
        constexpr auto missing = 10;
        if (how_.framing_ == framing::length) {
            head +=
                "Content-Length: " +
                std::to_string(
                    length + (how_.ending_ == ending::complete ? 0 : missing)) +
                "\r\n";
        } else if (how_.framing_ == framing::chunked) {
            head += "Transfer-Encoding: chunked\r\n";
        }
        head_ = head + "\r\n";
    }

    auto start() -> void {
        if (how_.cut_ == cut::inside_head) {
            head_.resize(head_.size() / 2);
        }
        if (how_.cut_ != cut::before_head) {
            connection_->write(head_);
        }
        send_next();
    }

private:
    auto send_next() -> void {
        if (next_ == pieces_.size()) {
            end();
            return;
        }
        const auto& piece = pieces_[next_++];
        auto bytes = std::string{};
        if (how_.framing_ == framing::chunked) {
            transport::append_chunk(bytes, piece);
        } else {
            bytes = piece;
        }
        connection_->write(bytes);
        thread_.after(event_interval,
                      [self = shared_from_this()] { self->send_next(); });
    }
    auto end() -> void {
        if (how_.ending_ == ending::reset) {
            connection_->reset();
            return;
        }
        if (how_.ending_ == ending::complete &&
            how_.framing_ == framing::chunked) {
            connection_->write(transport::last_chunk);
        }
        if (how_.ending_ == ending::in_order ||
            how_.framing_ == framing::connection) {
            connection_->close();
        }
    }

    transport::reactor_thread& thread_;
    std::shared_ptr<raw_connection> connection_;
    const behaviour how_;
    std::string head_;
    std::vector<std::string> pieces_;
    std::size_t next_ = 0;
};

// Servers and clients of one scenario.
class broken_answers_world {
public:
    explicit broken_answers_world(const scenario& options)
        : deployment_{{.daemons_ = options.daemons_,
                       .routes_ = {{"/resumable/", "streaming", true},
                                   {"/stream/", "streaming"},
                                   {"/once/", "non_idempotent"}}}} {
        constexpr auto servers = 6;
        for (auto number = 0; number < servers; ++number) {
            deployment_.add_server(
                [this](const auto& request, const auto& connection) {
                    answer(request, connection);
                });
        }
    }

    auto run() -> void {
        deployment_.play(sending_time + time_to_end, [this] {
            deployment_.thread().every(request_interval, [this] { send(); });
            deployment_.thread().after(sending_time,
                                       [this] { sending_ = false; });
        });
    }

    // Answers that reached their clients as complete and are not, by what the
    // last server did.
    std::map<std::string, int> completed_;
    // Answers sent whole by their only server that did not reach the client so.
    int lost_ = 0;
    int sent_ = 0;
    int ended_ = 0;
    int whole_ = 0;
    // Requests of routes without repetition that reached servers twice.
    int repeated_ = 0;

private:
    struct sent_request {
        int arrivals_ = 0;
        behaviour last_;
        int status_ = 200;
    };

    auto send() -> void {
        static constexpr auto prefixes = std::array<const char*, 4>{
            "/resumable/", "/stream/", "/once/", "/resumable/"};
        if (!sending_) {
            return;
        }
        const auto number = sent_++;
        const auto path = std::string{prefixes.at(number % prefixes.size())} +
                          std::to_string(random_.below(1000)) + "/" +
                          std::to_string(number / 4);
        auto headers = transport::header_list{};
        headers.add("Host", "x");
        headers.add(request_id_field, "q" + std::to_string(number));
        headers.add("Basilstream-Deadline-Milliseconds", "8000");
        deployment_.send(
            number % deployment_.daemons(),
            transport::write_request("POST", path, headers, "body"),
            [this, path](const raw_answer& answer) { check(path, answer); });
    }

    auto answer(const transport::request_message& request,
                const std::shared_ptr<raw_connection>& connection) -> void {
        const auto& path = request.target_;
        auto& state = requests_[path];
        ++state.arrivals_;
        state.last_ = choose_behaviour();
        auto how = state.last_;
        constexpr auto failing_interval = 40;
        const auto failed =
            how.cut_ == cut::none && random_.below(failing_interval) == 0;
        state.status_ = failed ? 500 : 200;
        const auto id = std::string{request.headers_.find(request_id_field)};
        const auto head = "HTTP/1.1 " + std::to_string(state.status_) +
                          " X\r\n" + request_id_field + ": " + id + "\r\n";
        const auto after = request.headers_.find("Last-Event-Id");
        const auto first =
            after.empty() ? 1 : std::stoi(std::string{after}) + 1;
        std::make_shared<answer_in_progress>(deployment_.thread(), connection,
                                             how, head,
                                             pieces_of(path, first, how))
            ->start();
    }

    auto choose_behaviour() -> behaviour {
        if (random_.below(whole_answer_interval) == 0) {
            return {static_cast<framing>(random_.below(3)), cut::none,
                    ending::complete};
        }
        return broken_[random_.below(broken_.size())];
    }

    // Returns the pieces of the body up to the cut.
    auto pieces_of(const std::string& path, int first, const behaviour& how)
        -> std::vector<std::string> {
        auto pieces = std::vector<std::string>{};
        const auto has_body = how.cut_ != cut::before_head &&
                              how.cut_ != cut::inside_head &&
                              how.cut_ != cut::before_first_event;
        if (!has_body || first > stream_events) {
            return pieces;
        }
        const auto cut_at = how.cut_ == cut::none
                                ? stream_events + 1
                                : first + static_cast<int>(random_.below(
                                              stream_events + 1 - first));
        for (auto number = first; number < cut_at; ++number) {
            pieces.push_back(event_text(path, number));
        }
        if (const auto part = part_of_event(event_text(path, cut_at), how.cut_);
            !part.empty()) {
            pieces.push_back(part);
        }
        return pieces;
    }

    auto check(const std::string& path, const raw_answer& answer) -> void {
        ++ended_;
        const auto& state = requests_[path];
        const auto is_whole = answer.body_ == whole_stream(path);
        const auto is_success = answer.status_ == 200;
        const auto single = path.starts_with("/once/");
        // A single answer is not known to consist of events, and is whole if
        // its framing says so.
        const auto counts = !single || state.last_.ending_ == ending::reset ||
                            (state.last_.framing_ != framing::connection &&
                             state.last_.ending_ == ending::in_order);
        if (is_success && answer.complete_ && !is_whole && counts) {
            ++completed_[state.last_.name()];
        }
        whole_ += is_success && answer.complete_ && is_whole ? 1 : 0;
        const auto sent_whole = state.arrivals_ == 1 &&
                                state.last_.cut_ == cut::none &&
                                state.status_ == 200;
        lost_ += sent_whole && !(answer.complete_ && is_whole) ? 1 : 0;
        repeated_ += single && state.arrivals_ > 1 ? 1 : 0;
    }

    const std::vector<behaviour> broken_ = broken_behaviours();
    seeded_random random_{11};
    raw_deployment deployment_;
    std::map<std::string, sent_request> requests_;
    bool sending_ = true;
};

class broken_answers : public ::testing::TestWithParam<scenario> {};

// Streams that broke off inside an event reached their clients as complete.
TEST_P(broken_answers, broken_answer_reaches_its_client_as_complete) {
    auto world = broken_answers_world{GetParam()};
    world.run();
    auto completed = 0;
    for (const auto& [how, count] : world.completed_) {
        std::cout << how << ": " << count << " completed\n";
        completed += count;
    }
    std::cout << GetParam().name_ << ": " << world.sent_ << " sent, "
              << world.ended_ << " ended, " << world.whole_ << " whole, "
              << completed << " completed though broken off, " << world.lost_
              << " whole ones lost\n";
    EXPECT_EQ(completed, 0);
    EXPECT_EQ(world.lost_, 0);
    EXPECT_EQ(world.repeated_, 0);
    EXPECT_EQ(world.ended_, world.sent_);
    // A third of the first attempts is whole.
    EXPECT_GE(world.whole_, world.sent_ / 4);
}

INSTANTIATE_TEST_SUITE_P(
    scenarios, broken_answers,
    ::testing::Values(scenario{.name_ = "2_daemons"},
                      scenario{.name_ = "7_daemons", .daemons_ = 7},
                      scenario{.name_ = "80_daemons", .daemons_ = 80}),
    [](const auto& info) { return "with_" + std::string{info.param.name_}; });

// Inserts the id of the request behind the last status line.
auto with_request_id(std::string head, const std::string& id) -> std::string {
    const auto last = head.rfind("HTTP/1.");
    const auto line_end =
        head.find("\r\n", last == std::string::npos ? 0 : last);
    return head.insert(line_end + 2,
                       std::string{request_id_field} + ": " + id + "\r\n");
}

// Daemons between clients and servers that answer one request in three with a
// head that no answer has, and the others whole.
class unsound_heads_world {
public:
    unsound_heads_world()
        : deployment_{{.daemons_ = 2,
                       .routes_ = {{"/resumable/", "streaming", true},
                                   {"/stream/", "streaming"},
                                   {"/once/", "non_idempotent"},
                                   {"/again/", "idempotent"}}}} {
        constexpr auto servers = 3;
        for (auto number = 0; number < servers; ++number) {
            deployment_.add_server(
                [this](const auto& request, const auto& connection) {
                    answer(request, connection);
                });
        }
    }

    auto run() -> void {
        deployment_.play(sending_time + time_to_end, [this] {
            deployment_.thread().every(request_interval, [this] { send(); });
            deployment_.thread().after(sending_time,
                                       [this] { sending_ = false; });
        });
    }

    // Answers that clients got though no server had given them, by the head
    // that the last server sent.
    std::map<std::string, int> passed_on_;
    std::map<std::string, int> sent_heads_;
    int sent_ = 0;
    int ended_ = 0;
    int whole_ = 0;
    int repeated_ = 0;

private:
    struct sent_request {
        int arrivals_ = 0;
        // Name of the last head sent; empty if it was sound.
        std::string last_head_;
    };

    auto send() -> void {
        static constexpr auto prefixes = std::array<const char*, 4>{
            "/resumable/", "/stream/", "/once/", "/again/"};
        if (!sending_) {
            return;
        }
        const auto number = sent_++;
        const auto path = std::string{prefixes.at(number % prefixes.size())} +
                          std::to_string(number);
        auto headers = transport::header_list{};
        headers.add("Host", "x");
        headers.add(request_id_field, "q" + std::to_string(number));
        headers.add("Basilstream-Deadline-Milliseconds", "4000");
        deployment_.send(
            number / 4 % deployment_.daemons(),
            transport::write_request("POST", path, headers, "body"),
            [this, path](const raw_answer& answer) { check(path, answer); });
    }

    auto answer(const transport::request_message& request,
                const std::shared_ptr<raw_connection>& connection) -> void {
        constexpr auto unsound_interval = 3;
        const auto& path = request.target_;
        const auto id = std::string{request.headers_.find(request_id_field)};
        auto& state = requests_[path];
        ++state.arrivals_;
        if (++arrivals_ % unsound_interval != 0) {
            state.last_head_ = {};
            const auto body = whole_stream(path);
            connection->write(with_request_id(
                "HTTP/1.1 200 OK\r\nContent-Length: " +
                    std::to_string(body.size()) + "\r\n\r\n" + body,
                id));
            return;
        }
        const auto& sample = heads_[next_head_++ % heads_.size()];
        state.last_head_ = sample.name_;
        ++sent_heads_[state.last_head_];
        connection->write(with_request_id(sample.bytes_, id));
        connection->close();
    }

    auto check(const std::string& path, const raw_answer& answer) -> void {
        constexpr auto own_answers = std::array{502, 503, 504};
        ++ended_;
        const auto& state = requests_[path];
        const auto is_whole = answer.complete_ && answer.status_ == 200 &&
                              answer.body_ == whole_stream(path) &&
                              state.last_head_.empty();
        const auto is_own = std::find(own_answers.begin(), own_answers.end(),
                                      answer.status_) != own_answers.end() &&
                            !answer.headers_.contains("X-A");
        whole_ += is_whole ? 1 : 0;
        if (!is_whole && !is_own) {
            ++passed_on_[state.last_head_ + " as " +
                         std::to_string(answer.status_)];
        }
        repeated_ += path.starts_with("/once/") && state.arrivals_ > 1 ? 1 : 0;
    }

    const std::vector<transport::head_sample> heads_ =
        transport::heads_of_no_answer();
    raw_deployment deployment_;
    std::map<std::string, sent_request> requests_;
    std::size_t next_head_ = 0;
    int arrivals_ = 0;
    bool sending_ = true;
};

// Bytes that are no answer in the protocol reached clients as one: with a
// status of 000, with lines joined to others, or with the sizes of chunks in
// the body.
TEST(unsound_heads, head_that_is_no_answer_reaches_a_client) {
    auto world = unsound_heads_world{};
    world.run();
    auto passed_on = 0;
    for (const auto& [how, count] : world.passed_on_) {
        std::cout << how << ": " << count << " passed on\n";
        passed_on += count;
    }
    std::cout << world.sent_ << " sent, " << world.ended_ << " ended, "
              << world.whole_ << " whole, " << passed_on << " passed on\n";
    EXPECT_EQ(passed_on, 0);
    EXPECT_EQ(world.repeated_, 0);
    EXPECT_EQ(world.ended_, world.sent_);
    // Two thirds of the first attempts are whole.
    EXPECT_GE(world.whole_, world.sent_ / 2);
    EXPECT_EQ(world.sent_heads_.size(), transport::heads_of_no_answer().size());
}

} // namespace
} // namespace basilstream::testing
