/// Stand-in for the platform's metadata store: partition 0 of its log topics,
/// with the newest record of each key, and faults.
///
///     auto store = stand_in_store{thread, clock};
///     store.put("keyed.op", "config", text);
///     store.set_fault(store_fault::refuse);
///
/// Use on the reactor's thread only.
#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "basilstream/base/clock/clock.hpp"
#include "basilstream/transport/http_session/http_session.hpp"

namespace basilstream::testing {

enum class store_fault {
    none,
    /// Answers 503; nothing is done.
    refuse,
    /// Does nothing and never answers.
    silent,
    /// Carries appends out and never answers them.
    lose_answers,
    /// Answers 300 ms late.
    slow,
};

class stand_in_store {
public:
    stand_in_store(transport::reactor_thread& thread, const clock& time);
    stand_in_store(const stand_in_store&) = delete;
    auto operator=(const stand_in_store&) -> stand_in_store& = delete;
    ~stand_in_store();

    [[nodiscard]] auto address() const -> std::string;
    /// Returns the value of a record as some readers see it.
    using record_view =
        std::function<std::string(const std::string& topic, std::string value)>;
    /// Serves the same store at one more address, with its records changed by
    /// `view`. Returns the address.
    auto add_view(record_view view) -> std::string;
    /// Appends a record of a keyed topic; without a value, drops the key.
    auto put(const std::string& topic, const std::string& key,
             const std::optional<std::string>& value) -> void;
    auto set_fault(store_fault fault) -> void { fault_ = fault; }
    /// Records on each page of a listing.
    auto set_page_size(std::size_t records) -> void { page_size_ = records; }

private:
    // A call whose answer is due later.
    struct held_call;
    using call_pointer = std::shared_ptr<held_call>;

    auto answer(const transport::request_message& request,
                transport::http_session& session, const record_view& view)
        -> void;
    auto append(const std::string& topic, const std::string& at,
                std::string_view body, const call_pointer& call) -> void;
    auto read(const std::string& topic, std::size_t from,
              milliseconds longest_wait, const call_pointer& call,
              const record_view& view) -> void;
    // Lists the newest record of each key behind `after`.
    auto list(const std::string& topic, const std::string& after,
              const call_pointer& call, const record_view& view) -> void;
    auto respond(const call_pointer& call, int status, std::string body)
        -> void;
    auto add_record(const std::string& topic, std::string content) -> void;
    auto read_response(const std::string& topic, std::size_t from,
                       const record_view& view) -> std::string;

    struct waiting_read {
        std::string topic_;
        std::size_t from_ = 0;
        call_pointer call_;
        record_view view_ = {};
    };

    transport::reactor_thread& thread_;
    const clock& clock_;
    std::unique_ptr<transport::http_session_server> server_;
    std::vector<std::unique_ptr<transport::http_session_server>> view_servers_;
    std::map<std::string, std::vector<std::string>> topics_;
    std::list<waiting_read> waiting_;
    store_fault fault_ = store_fault::none;
    std::size_t page_size_ = 500;
};

} // namespace basilstream::testing
