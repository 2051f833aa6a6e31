#include "basilstream/protocol/caller_api/caller_api.hpp"

#include <gtest/gtest.h>

#include "basilstream/protocol/json/json.hpp"

namespace basilstream::protocol {
namespace {

TEST(caller_api, reads_both_styles) {
    const auto text = parse_completion(
        R"({"model":"a/m:x","prompt":"hi","max_tokens":5,"stream":true,
            "temperature":0.5})",
        completion_style::text);
    ASSERT_TRUE(text) << text.error().to_string();
    EXPECT_EQ(text->model_, "a/m");
    EXPECT_EQ(text->adapter_, "x");
    EXPECT_EQ(text->max_tokens_, 5U);
    EXPECT_TRUE(text->stream_);
    const auto chat = parse_completion(
        R"({"model":"a/m","messages":[{"role":"user","content":"hi"}]})",
        completion_style::chat);
    ASSERT_TRUE(chat);
    EXPECT_EQ(chat->prompt_, "user: hi\n");
}

TEST(caller_api, bad_bodies_are_client_errors_that_name_the_key) {
    const auto bad = std::vector<std::pair<std::string, std::string>>{
        {"{", "JSON"},
        {"[]", "body"},
        {R"({"prompt":"x"})", "model"},
        {R"({"model":"nomodel","prompt":"x"})", "model"},
        {R"({"model":"/m","prompt":"x"})", "model"},
        {R"({"model":"a/m:","prompt":"x"})", "model"},
        {R"({"model":"a/m"})", "prompt"},
        {R"({"model":"a/m","prompt":"x","max_tokens":0})", "max_tokens"},
        {R"({"model":"a/m","prompt":"x","max_tokens":1e99})", "max_tokens"},
        {R"({"model":"a/m","prompt":"x","stream":"yes"})", "stream"}};
    for (const auto& [body, key] : bad) {
        const auto call = parse_completion(body, completion_style::text);
        ASSERT_FALSE(call) << body;
        EXPECT_EQ(http_status(call.error().code_), 400) << body;
        EXPECT_EQ(call.error().run_, run_status::not_run);
        EXPECT_NE(call.error().detail_.find(key), std::string::npos) << body;
    }
}

TEST(caller_api, chunks_and_answers_are_json) {
    for (const auto style : {completion_style::text, completion_style::chat}) {
        const auto identity = answer_identity{"r1", "a/m", style, 7};
        const auto writer = chunk_writer{identity};
        auto chunk = std::string{};
        writer.append_token(chunk, R"(a\"b)");
        const auto parsed = json::parse(chunk.substr(6));
        const auto& choice = parsed["choices"][0];
        EXPECT_EQ(style == completion_style::text ? choice["text"]
                                                  : choice["delta"]["content"],
                  "a\"b");
        auto finish = std::string{};
        writer.append_finish(finish, "stop");
        EXPECT_TRUE(finish.ends_with("data: [DONE]\n\n"));
        EXPECT_TRUE(json::accept(whole_answer(identity, R"(x\n)", "stop", 1)));
    }
}

TEST(caller_api, retry_after_is_rounded_up_to_whole_seconds) {
    auto failure = error{error_code::overloaded};
    EXPECT_EQ(retry_after_header(failure), "");
    failure.retry_after_ = std::chrono::milliseconds{1};
    EXPECT_EQ(retry_after_header(failure), "1");
    failure.retry_after_ = std::chrono::milliseconds{2001};
    EXPECT_EQ(retry_after_header(failure), "3");
}

} // namespace
} // namespace basilstream::protocol
