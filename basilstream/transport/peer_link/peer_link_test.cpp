#include "basilstream/transport/peer_link/peer_link.hpp"

#include <future>

#include <gtest/gtest.h>

namespace basilstream::transport {
namespace {

TEST(peer_link, message_arrives_with_the_senders_address) {
    auto arrived = std::promise<std::pair<std::string, std::string>>{};
    const auto receiver =
        peer_link::open({}, [&](std::string from, std::string bytes) {
            arrived.set_value({std::move(from), std::move(bytes)});
        });
    const auto sender = peer_link::open({}, [](auto, auto) {});
    ASSERT_TRUE(receiver && sender);
    EXPECT_TRUE((*sender)->send((*receiver)->address(), "hello"));
    const auto [from, bytes] = arrived.get_future().get();
    EXPECT_EQ(from, (*sender)->address());
    EXPECT_EQ(bytes, "hello");
}

TEST(peer_link, unreachable_and_malformed_peers_disturb_nobody) {
    auto arrived = std::promise<std::string>{};
    auto options = peer_link_options{};
    options.peer_queue_ = 4;
    const auto receiver = peer_link::open({}, [&](auto, std::string bytes) {
        arrived.set_value(std::move(bytes));
    });
    const auto sender = peer_link::open(options, [](auto, auto) {});
    for (auto count = 0; count < 100; ++count) {
        (*sender)->send("127.0.0.1:1", "lost");
        (*sender)->send("not an address", "lost");
    }
    (*sender)->send((*receiver)->address(), "found");
    EXPECT_EQ(arrived.get_future().get(), "found");
    EXPECT_GT((*sender)->statistics().dropped_, 0U);
}

TEST(peer_link, taken_port_is_a_typed_error) {
    const auto first = peer_link::open({}, [](auto, auto) {});
    const auto& address = (*first)->address();
    auto options = peer_link_options{};
    options.port_ = static_cast<std::uint16_t>(
        std::stoul(address.substr(address.find(':') + 1)));
    const auto second = peer_link::open(options, [](auto, auto) {});
    ASSERT_FALSE(second);
    EXPECT_EQ(second.error().step_, step::peer);
}

} // namespace
} // namespace basilstream::transport
