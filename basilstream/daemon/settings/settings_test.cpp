#include "basilstream/daemon/settings/settings.hpp"

#include <gtest/gtest.h>

#include "basilstream/protocol/json/json.hpp"

namespace basilstream::daemon {
namespace {

using protocol::json;

auto valid_settings() -> json {
    return {{"name", "entry-1"},
            {"zone", "muc-a"},
            {"caller", {{"address", "127.0.0.1"}, {"port", 8080}}},
            {"peer", {{"address", "127.0.0.1"}, {"port", 7100}}},
            {"platform",
             {{"log_url", "http://127.0.0.1:1"},
              {"vm_list_url", "http://127.0.0.1:2"}}}};
}

TEST(settings, valid_settings_are_read_with_defaults) {
    auto text = valid_settings();
    text["requests"]["deadline_ms"] = 250;
    const auto settings = parse_settings(text.dump(), "s.json");
    ASSERT_TRUE(settings) << settings.error().to_string();
    EXPECT_EQ(settings->caller_.port_, 8080);
    EXPECT_EQ(settings->requests_.deadline_, milliseconds{250});
    EXPECT_EQ(settings->deployment_.shards_.size(), 1U);
}

TEST(settings, invalid_settings_error_is_one_line_with_file_and_key) {
    const auto invalid_values =
        std::vector<std::pair<json::json_pointer, json>>{
            {json::json_pointer{"/caller/port"}, 70000},
            {json::json_pointer{"/caller/port"}, "8080"},
            {json::json_pointer{"/caller/colour"}, 1},
            {json::json_pointer{"/name"}, "Not A Name"},
            {json::json_pointer{"/platform/log_url"}, "https://x"},
            {json::json_pointer{"/requests/deadline_ms"}, -1},
            {json::json_pointer{"/deployment/shards"}, json::array()},
            {json::json_pointer{"/logging/level"}, "loud"}};
    for (const auto& [key, value] : invalid_values) {
        auto text = valid_settings();
        text[key] = value;
        const auto settings = parse_settings(text.dump(), "s.json");
        ASSERT_FALSE(settings) << key.to_string();
        const auto line = settings.error().to_string();
        EXPECT_NE(line.find("s.json"), std::string::npos) << line;
        EXPECT_NE(line.find(key.back()), std::string::npos) << line;
        EXPECT_EQ(line.find('\n'), std::string::npos) << line;
    }
    for (const auto* missing : {"name", "zone", "caller", "platform"}) {
        auto text = valid_settings();
        text.erase(missing);
        const auto settings = parse_settings(text.dump(), "s.json");
        ASSERT_FALSE(settings);
        EXPECT_NE(settings.error().detail_.find(missing), std::string::npos);
    }
}

TEST(settings, error_names_missing_file) {
    const auto settings = load_settings("no-such-file.json");
    ASSERT_FALSE(settings);
    EXPECT_EQ(settings.error().peer_, "no-such-file.json");
}

} // namespace
} // namespace basilstream::daemon
