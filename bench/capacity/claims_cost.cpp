#include <string>
#include <variant>
#include <vector>

#include "basilstream/coordination/claims/claims.hpp"
#include "bench/capacity/capacity.hpp"

namespace basilstream::bench {
namespace {

using namespace coordination;

constexpr auto answer_bytes = std::size_t{2000};

// One daemon that owns the only shard, with a log that answers at once.
class single_owner {
public:
    single_owner() : claims_{one_shard(), {"daemon", "boot"}} {
        claims_.on_members({"daemon"}, now_);
        constexpr auto rounds_to_own = 2000;
        for (auto round = 0; round < rounds_to_own && !claims_.owns(0);
             ++round) {
            step();
        }
    }

    // Takes a request through claim, dispatch and stored result.
    auto run_one() -> void {
        const auto id = std::to_string(next_++);
        const auto key = claim_key{"organisation", "service", "key-" + id};
        claims_.submit({key, {next_, 0}, id, now_ + seconds{30}}, now_);
        if (next_ % batch_ == 0) {
            step();
            step();
        }
    }

    auto settle() -> void {
        constexpr auto rounds = 40;
        for (auto round = 0; round < rounds; ++round) {
            step();
        }
    }

    [[nodiscard]] auto keys() const -> std::size_t {
        return claims_.statistics().keys_;
    }

private:
    // Requests that share an append, at 50 appends a second.
    static constexpr auto batch_ = std::uint64_t{16};

    static auto one_shard() -> claim_settings {
        auto settings = claim_settings{};
        settings.shard_count_ = 1;
        return settings;
    }

    auto step() -> void {
        now_ += milliseconds{20};
        claims_.tick(now_);
        for (auto outputs = claims_.poll(); !outputs.empty();
             outputs = claims_.poll()) {
            for (auto& output : outputs) {
                carry_out(output);
            }
        }
    }

    auto carry_out(claim_output& output) -> void {
        if (auto* append = std::get_if<append_output>(&output)) {
            auto read = claim_read{};
            for (auto& record : append->records_) {
                read.entries_.push_back({offset_++, std::move(record)});
            }
            read.next_offset_ = offset_;
            claims_.on_append_result(0, append->ticket_, append_status::ok,
                                     now_);
            claims_.on_read(0, read, now_);
        } else if (auto* given = std::get_if<dispatch_output>(&output)) {
            claims_.finish(given->request_id_,
                           {200, "text/plain", std::string(answer_bytes, 'a')},
                           now_);
        } else if (std::holds_alternative<follow_output>(output)) {
            claims_.on_read(0, {{}, 0, offset_}, now_);
        }
    }

    time_point now_{seconds{1}};
    std::uint64_t offset_ = 0;
    std::uint64_t next_ = 0;
    claim_service claims_;
};

} // namespace

auto measure_claims() -> cost_curve {
    auto curve =
        cost_curve{"claims", "claim, dispatch, result", "keys remembered", {}};
    for (const auto wanted : {20'000, 80'000, 200'000}) {
        const auto before = heap_bytes();
        auto owner = single_owner{};
        for (auto index = 0; index < wanted; ++index) {
            owner.run_one();
        }
        owner.settle();
        const auto bytes = heap_bytes() - before;
        const auto keys = static_cast<double>(owner.keys());
        const auto spent = seconds_of(3'000, [&] { owner.run_one(); });
        curve.points_.push_back({keys, spent, bytes});
    }
    return curve;
}

} // namespace basilstream::bench
