#include "basilstream/protocol/event_stream/event_stream.hpp"

#include <gtest/gtest.h>

namespace basilstream::protocol {
namespace {

TEST(event_splitter, passes_whole_events_on) {
    auto events = event_splitter{};
    EXPECT_EQ(events.feed("id: 1\ndata: a\n\nid: 2\nda"), "id: 1\ndata: a\n\n");
    EXPECT_EQ(events.last_id(), 1U);
    EXPECT_EQ(events.feed("ta: b\n"), "");
    EXPECT_EQ(events.feed("\n"), "id: 2\ndata: b\n\n");
    EXPECT_EQ(events.last_id(), 2U);
    EXPECT_EQ(events.events(), 2U);
}

TEST(event_splitter, keeps_the_rest_of_a_broken_event_apart) {
    auto events = event_splitter{};
    EXPECT_EQ(events.feed("id: 1\n\nid: 2\ndata"), "id: 1\n\n");
    EXPECT_EQ(events.take_partial(), "id: 2\ndata");
    EXPECT_EQ(events.feed("id: 2\n\n"), "id: 2\n\n");
}

TEST(event_splitter, drops_what_the_client_has) {
    auto events = event_splitter{};
    events.skip_through(2);
    EXPECT_EQ(events.feed("id: 1\n\nid: 2\n\nid: 3\n\n"), "id: 3\n\n");
}

TEST(event_splitter, an_event_without_an_id_passes) {
    auto events = event_splitter{};
    events.skip_through(9);
    EXPECT_EQ(events.feed("data: a\n\n"), "data: a\n\n");
    EXPECT_FALSE(events.last_id().has_value());
}

TEST(event_splitter, any_split_gives_the_same_events) {
    const auto text = std::string{"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"};
    for (auto cut = std::size_t{0}; cut <= text.size(); ++cut) {
        auto events = event_splitter{};
        auto output = std::string{events.feed(text.substr(0, cut))};
        output.append(events.feed(text.substr(cut)));
        EXPECT_EQ(output, text) << cut;
    }
}

TEST(event_splitter, tells_whether_a_stream_ends_inside_an_event) {
    const auto is_inside = [](const std::string& text) {
        auto events = event_splitter{};
        (void)events.feed(text);
        return events.is_inside_event();
    };
    const auto whole = std::string{"id: 1\ndata: a\n\n"};
    for (const auto* const rest : {"", "\r", "id: 2\rdata: b\r\r", "\n", "\r\n",
                                   "\n\n", ": comment\n", ": a\r\n\r\n"}) {
        EXPECT_FALSE(is_inside(whole + rest)) << rest;
        EXPECT_FALSE(is_inside(rest)) << rest;
    }
    for (const auto* const rest :
         {"i", "id: 1", "id: 12\n", "id: 2\ndata: b\n", "id: 2\r\ndata: b\r\n",
          "id: 2\r\ndata: b\r\n\r", ": comm", "\ndata"}) {
        EXPECT_TRUE(is_inside(whole + rest)) << rest;
        EXPECT_TRUE(is_inside(rest)) << rest;
    }
}

// Events whose lines end with CR LF were held back until the stream ended.
TEST(event_splitter, events_with_crlf_are_held_back) {
    const auto text =
        std::string{"id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n"};
    for (auto cut = std::size_t{0}; cut <= text.size(); ++cut) {
        auto events = event_splitter{};
        auto output = std::string{events.feed(text.substr(0, cut))};
        output.append(events.feed(text.substr(cut)));
        EXPECT_EQ(output, text) << cut;
        EXPECT_EQ(events.last_id(), 2U);
        EXPECT_EQ(events.events(), 2U);
        EXPECT_EQ(events.partial_bytes(), 0U);
    }
}

// Events whose lines end with CR were held back, and their streams broken off.
TEST(event_splitter, events_with_cr_are_held_back) {
    const auto text = std::string{"id: 1\rdata: a\r\rid: 2\rdata: b\r\r"};
    for (auto cut = std::size_t{0}; cut <= text.size(); ++cut) {
        auto events = event_splitter{};
        auto output = std::string{events.feed(text.substr(0, cut))};
        output.append(events.feed(text.substr(cut)));
        EXPECT_EQ(output, "id: 1\rdata: a\r\r") << cut;
        EXPECT_EQ(events.last_id(), 1U);
        EXPECT_FALSE(events.is_inside_event());
        EXPECT_EQ(events.take_partial(), "id: 2\rdata: b\r\r");
    }
}

} // namespace
} // namespace basilstream::protocol
