#include "basilstream/transport/tracing/tracing.hpp"

#include <future>

#include <gtest/gtest.h>

#include "basilstream/protocol/json/json.hpp"
#include "basilstream/transport/http_server/http_server.hpp"

namespace basilstream::transport {
namespace {

constexpr auto header =
    "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

TEST(tracing, traceparent_round_trip_and_rejection) {
    const auto parsed = parse_traceparent(header);
    ASSERT_TRUE(parsed);
    EXPECT_EQ(to_traceparent(*parsed), header);
    for (const auto* bad :
         {"", "00", "01-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
          "00-00000000000000000000000000000000-b7ad6b7169203331-01",
          "00-0AF7651916CD43DD8448EB211C80319C-b7ad6b7169203331-01",
          "00-0af7651916cd43dd8448eb211c80319c+b7ad6b7169203331-01"}) {
        EXPECT_FALSE(parse_traceparent(bad)) << bad;
    }
}

TEST(tracing, spans_reach_the_collector_with_their_parents) {
    auto arrived = std::promise<std::string>{};
    const auto collector = http_server::open(
        {}, [&](http_request request, http_exchange_ptr reply) {
            arrived.set_value(std::move(request.body_));
            reply->respond(202, {}, "");
        });
    auto client = http_client{"test"};
    auto traces = tracer{{.zipkin_url_ = "http://127.0.0.1:" +
                                         std::to_string((*collector)->port()) +
                                         "/api/v2/spans"},
                         client,
                         1};
    auto root = traces.start("caller", header);
    auto attempt = root.child("attempt");
    attempt.tag("runner", "r1");
    EXPECT_EQ(attempt.traceparent().substr(0, 36),
              std::string{header}.substr(0, 36));
    attempt.finish();
    root.finish();
    traces.flush();
    const auto spans = protocol::json::parse(arrived.get_future().get());
    ASSERT_EQ(spans.size(), 2U);
    EXPECT_EQ(spans[0]["parentId"], spans[1]["id"]);
    EXPECT_EQ(spans[1]["parentId"], "b7ad6b7169203331");
    EXPECT_EQ(spans[0]["tags"]["runner"], "r1");
}

TEST(tracing, off_costs_no_spans) {
    auto client = http_client{"test"};
    auto traces = tracer{{}, client, 1};
    const auto root = traces.start("caller", header);
    EXPECT_EQ(root.child("attempt").traceparent(), "");
}

} // namespace
} // namespace basilstream::transport
