#include "basilstream/coordination/client_limits/client_limits.hpp"

#include <algorithm>
#include <utility>

namespace basilstream::coordination {
namespace {

constexpr auto megabyte = std::size_t{1} << 20U;
// Parts of the memory, see docs/CAPACITY.md. Today's bounds are the most.
constexpr auto body_part = std::size_t{6};
constexpr auto answer_part = std::size_t{12};
constexpr auto buffer_part = std::size_t{40};
constexpr auto connection_part = std::size_t{12};
// A chunked body of 4 MiB with its copy, and 8 MiB for others beside it.
constexpr auto min_body_bytes = 16 * megabyte;
// Two answers of the largest size.
constexpr auto min_answer_bytes = 8 * megabyte;
// The largest head.
constexpr auto connection_bytes = std::size_t{16} * 1024;
constexpr auto min_connections = std::size_t{256};
// A window of 64 KiB carries 10 Mbit/s over 50 ms.
constexpr auto max_buffer = std::size_t{64} * 1024;
// So many further connections could have what one more gets.
constexpr auto buffers_left = std::size_t{32};

} // namespace

auto memory_shares_of(std::optional<std::size_t> megabytes) -> memory_shares {
    auto shares = memory_shares{};
    if (!megabytes) {
        return shares;
    }
    const auto memory = *megabytes * megabyte;
    shares.body_bytes_ =
        std::clamp(memory / body_part, min_body_bytes, shares.body_bytes_);
    shares.answer_bytes_ = std::clamp(memory / answer_part, min_answer_bytes,
                                      shares.answer_bytes_);
    shares.receive_buffer_bytes_ = memory / buffer_part;
    shares.send_buffer_bytes_ = memory / buffer_part;
    shares.connections_ =
        std::max(min_connections, memory / connection_part / connection_bytes);
    return shares;
}

auto buffer_share(std::size_t total, std::size_t used, std::size_t smallest)
    -> std::size_t {
    const auto left = total - std::min(total, used);
    return total == 0 ? 0
                      : std::clamp(left / buffers_left, smallest, max_buffer);
}

auto discard_budget::take(std::size_t bytes, time_point now) -> bool {
    const auto passed =
        std::chrono::duration<double>(now - std::exchange(renewed_at_, now));
    left_ = std::min(static_cast<double>(burst_bytes_),
                     left_ + passed.count() * bytes_per_second_);
    const auto wanted = static_cast<double>(bytes);
    if (wanted > left_) {
        return false;
    }
    left_ -= wanted;
    return true;
}

auto choose_unread(std::vector<unread_answer> answers, std::size_t wanted,
                   duration grace) -> std::vector<std::uint64_t> {
    std::erase_if(answers, [&](const unread_answer& answer) {
        return answer.bytes_ == 0 || answer.idle_ < grace;
    });
    const auto weight = [](const unread_answer& answer) {
        return static_cast<double>(answer.bytes_) *
               std::chrono::duration<double>(answer.idle_).count();
    };
    std::sort(answers.begin(), answers.end(),
              [&](const auto& left, const auto& right) {
                  return std::pair{weight(left), left.id_} >
                         std::pair{weight(right), right.id_};
              });
    auto chosen = std::vector<std::uint64_t>{};
    for (auto freed = std::size_t{0}; const auto& answer : answers) {
        if (freed >= wanted) {
            break;
        }
        freed += answer.bytes_;
        chosen.push_back(answer.id_);
    }
    return chosen;
}

} // namespace basilstream::coordination
