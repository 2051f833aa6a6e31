#include "basilstream/protocol/engine_api/engine_api.hpp"

#include <gtest/gtest.h>

namespace basilstream::protocol {
namespace {

const auto stream =
    std::string{": heartbeat\n\nid: r/1/0\ndata: {\"text\":\"a \"}\n\n"
                "id: r/1/1\r\ndata: {\"text\": \"q\\\"\\n\"}\r\n\r\n"
                "id: r/1/2\ndata: {\"finish\":\"stop\"}\n\n"};

TEST(event_reader, splits_the_same_events_at_every_boundary) {
    for (auto size = std::size_t{1}; size <= stream.size(); ++size) {
        auto reader = event_reader{};
        auto seen = std::string{};
        for (auto at = std::size_t{0}; at < stream.size(); at += size) {
            ASSERT_TRUE(reader.feed(std::string_view{stream}.substr(at, size),
                                    [&](const engine_event& event) {
                                        seen +=
                                            std::string{event.id_} + "=" +
                                            std::string{event.escaped_text_} +
                                            std::string{event.finish_} + ";";
                                        return true;
                                    }));
        }
        EXPECT_EQ(seen, "r/1/0=a ;r/1/1=q\\\"\\n;r/1/2=stop;");
    }
}

TEST(event_reader, refuses_what_is_no_engine_event) {
    for (const auto* bytes :
         {"data: nonsense\n\n", "data: [1]\n\n", "data: {\"other\":1}\n\n"}) {
        auto reader = event_reader{};
        EXPECT_FALSE(
            reader.feed(bytes, [](const engine_event&) { return true; }));
    }
    auto reader = event_reader{};
    const auto endless = std::string(event_reader::max_event_bytes_ + 1, 'x');
    EXPECT_FALSE(
        reader.feed(endless, [](const engine_event&) { return true; }));
}

TEST(engine_api, malformed_answers_are_typed_errors_with_the_peer) {
    for (const auto* body : {"", "[]", "{}", R"({"boot_id":1})"}) {
        const auto report = parse_report(body, "127.0.0.1:9");
        ASSERT_FALSE(report) << body;
        EXPECT_EQ(report.error().peer_, "127.0.0.1:9");
        EXPECT_EQ(report.error().step_, step::runner);
    }
    EXPECT_FALSE(parse_vm_list(R"({"vms":[{"name":"x"}]})", "p"));
    const auto unknown_kind = parse_vm_list(
        R"({"vms":[{"name":"x","address":"a","kind":"balloon"}]})", "p");
    ASSERT_TRUE(unknown_kind);
    EXPECT_TRUE(unknown_kind->empty());
}

} // namespace
} // namespace basilstream::protocol
