#include "testing/answer_check/answer_check.hpp"

#include <utility>

#include <nlohmann/json.hpp>

namespace basilstream::testing {
namespace {

using nlohmann::json;

constexpr auto data_prefix = std::string_view{"data: "};

} // namespace

answer_check::answer_check(answer_format format,
                           std::vector<token_stream> candidates,
                           std::uint64_t max_tokens)
    : format_{format}, candidates_{std::move(candidates)}, max_tokens_{
                                                               max_tokens} {}

auto answer_check::take(std::string_view piece) -> std::uint64_t {
    const auto before = tokens_;
    while (!piece.empty()) {
        const auto end = piece.find('\n');
        line_.append(piece.substr(0, end));
        if (end == std::string_view::npos) {
            break;
        }
        if (std::string_view{line_}.starts_with(data_prefix)) {
            take_data(std::string_view{line_}.substr(data_prefix.size()));
        }
        line_.clear();
        piece.remove_prefix(end + 1);
    }
    return tokens_ - before;
}

auto answer_check::take_data(std::string_view data) -> void {
    if (data == "[DONE]") {
        ended_ = true;
        return;
    }
    const auto event = json::parse(data, nullptr, false);
    if (!event.is_object()) {
        wrong_ = true;
        return;
    }
    if (event.contains("error")) {
        error_ = event["error"].value("code", "unnamed_error");
        return;
    }
    if (format_ == answer_format::runner) {
        take_text(event.value("text", ""));
        if (event.contains("finish")) {
            take_finish(event["finish"].get<std::string>());
            ended_ = true;
        }
        return;
    }
    const auto choices = event.value("choices", json::array());
    if (choices.empty()) {
        return;
    }
    take_text(choices[0].value("text", ""));
    const auto finish = choices[0].value("finish_reason", json{});
    if (finish.is_string()) {
        take_finish(finish.get<std::string>());
    }
}

// A piece may hold several tokens, but never a part of one.
auto answer_check::take_text(const std::string& text) -> void {
    const auto begin = tokens_;
    for (const auto letter : text) {
        tokens_ += letter == ' ' ? 1 : 0;
    }
    wrong_ = wrong_ || (finished_ && !text.empty());
    std::erase_if(candidates_, [&](const token_stream& candidate) {
        return candidate.text(begin, tokens_) != text;
    });
    wrong_ = wrong_ || candidates_.empty();
}

auto answer_check::take_finish(const std::string& finish) -> void {
    wrong_ = wrong_ || finished_;
    finished_ = true;
    std::erase_if(candidates_, [&](const token_stream& candidate) {
        return candidate.count(max_tokens_) != tokens_ ||
               candidate.finish(max_tokens_) != finish;
    });
    wrong_ = wrong_ || candidates_.empty();
}

auto answer_check::verdict() const -> std::string {
    if (wrong_) {
        return "wrong_token";
    }
    if (!error_.empty()) {
        return error_;
    }
    return finished_ && ended_ ? "ok" : "short_answer";
}

} // namespace basilstream::testing
