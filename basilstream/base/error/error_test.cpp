#include "basilstream/base/error/error.hpp"

#include <gtest/gtest.h>

namespace basilstream {
namespace {

TEST(error, text_names_code_step_and_peer) {
    const auto failure =
        error{error_code::unavailable, step::log, "127.0.0.1:1", "refused"};
    EXPECT_EQ(failure.to_string(), "unavailable at log (127.0.0.1:1): refused");
}

TEST(error, every_code_has_a_name_and_a_client_or_server_status) {
    for (const auto& [code, name] : error_code_names.rows_) {
        EXPECT_EQ(error_code_names.parse(name), code);
        EXPECT_GE(http_status(code), 400) << name;
        EXPECT_LT(http_status(code), 600) << name;
    }
    EXPECT_EQ(error_code_names.rows_.back().first, error_code::internal);
}

} // namespace
} // namespace basilstream
