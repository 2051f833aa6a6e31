#include "basilstream/protocol/resources/resources.hpp"

#include <gtest/gtest.h>

namespace basilstream::protocol {
namespace {

TEST(resources, every_kind_survives_a_round_trip) {
    const auto text = std::string{R"([
      {"kind":"organisation","name":"banevagt","weight":3,"move_price":0.5,
       "labels":{"country":"dk"}},
      {"kind":"model","organisation":"banevagt","name":"heats",
       "versions":["v1","v2"],"memory_bytes":100,"zones":["dk-west-a"]},
      {"kind":"adapter","organisation":"banevagt","name":"relay",
       "model":"heats","memory_bytes":5},
      {"kind":"service","organisation":"banevagt","name":"entries",
       "non_idempotent_methods":["POST"],"generation":7}])"};
    const auto parsed = parse_resources(text, "a.json");
    ASSERT_TRUE(parsed) << parsed.error().to_string();
    ASSERT_EQ(parsed->size(), 4U);
    EXPECT_EQ(parsed->back().generation_, 7U);
    for (const auto& declared : *parsed) {
        const auto again =
            parse_resources(to_json(declared.resource_).dump(), "b.json");
        ASSERT_TRUE(again) << again.error().to_string();
        EXPECT_EQ(again->front().resource_, declared.resource_);
    }
}

TEST(resources, errors_name_file_key_value_and_what_is_allowed) {
    const auto bad = std::vector<std::pair<std::string, std::string>>{
        {R"({"kind":"model","organisation":"a","name":"b","versions":["v"],
             "memory_bytes":-3})",
         "memory_bytes"},
        {R"({"kind":"organisation","name":"UPPER"})", "name"},
        {R"({"kind":"organisation","name":"a","colour":1})", "colour"},
        {R"({"kind":"service","organisation":"a","name":"b",
             "non_idempotent_methods":["BREW"]})",
         "non_idempotent_methods"},
        {R"({"kind":"gpu"})", "kind"},
        {R"([1])", "kind"},
        {R"({"kind":)", "JSON"},
    };
    for (const auto& [text, key] : bad) {
        const auto parsed = parse_resources(text, "bad.json");
        ASSERT_FALSE(parsed) << text;
        const auto line = parsed.error().to_string();
        EXPECT_NE(line.find("bad.json"), std::string::npos) << line;
        EXPECT_NE(line.find(key), std::string::npos) << line;
        EXPECT_EQ(line.find('\n'), std::string::npos) << line;
    }
    const auto deep = std::string(100'000, '[');
    EXPECT_FALSE(parse_resources(deep, "deep.json"));
}

TEST(resources, token_hash_is_sha_256) {
    EXPECT_EQ(token_hash("abc"),
              "ba7816bf8f01cfea414140de5dae2223b00361a396177a"
              "9cb410ff61f20015ad");
}

} // namespace
} // namespace basilstream::protocol
