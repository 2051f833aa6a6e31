#include "basilstream/coordination/claims/claims.hpp"

#include <algorithm>
#include <array>
#include <deque>
#include <utility>

#include <xxhash.h>

#include "basilstream/coordination/claims/internal/claim_dispatcher.hpp"
#include "basilstream/coordination/claims/internal/claim_shard.hpp"

namespace basilstream::coordination {
namespace {

// Joins the parts with length prefixes, so that different parts never give the
// same text.
auto join(std::string_view first, std::string_view second,
          std::string_view third) -> std::string {
    auto joined = std::to_string(first.size()) + ":";
    joined.append(first);
    joined += std::to_string(second.size()) + ":";
    joined.append(second);
    joined.append(third);
    return joined;
}

auto default_guards() -> const claim_guards& {
    static const auto guards = claim_guards{};
    return guards;
}

} // namespace

auto fingerprint_of(std::string_view method, std::string_view path,
                    std::string_view body) -> body_fingerprint {
    const auto text = join(method, path, body);
    const auto hash = XXH3_128bits(text.data(), text.size());
    return {hash.high64, hash.low64};
}

auto shard_of(const claim_key& key, std::uint32_t shard_count)
    -> std::uint32_t {
    const auto text = join(key.organisation_, key.service_, key.key_);
    return static_cast<std::uint32_t>(XXH3_64bits(text.data(), text.size()) %
                                      shard_count);
}

auto claim_stream_name(std::uint32_t shard) -> std::string {
    return "claims-" + std::to_string(shard);
}

/// Owns the dispatcher and the shards of one daemon and routes messages to
/// them.
class claim_service::implementation {
public:
    implementation(claim_settings settings, daemon_identity self,
                   const claim_guards& guards)
        : settings_{settings}, self_{std::move(self)},
          dispatcher_{
              settings_, self_,
              guards,    [this](const claim_key& key) { return owner_of(key); },
              outputs_,  statistics_} {
        for (auto shard = 0U; shard < settings_.shard_count_; ++shard) {
            shards_.emplace_back(shard, settings_, self_, guards, outputs_,
                                 statistics_);
        }
        preferred_owners_.resize(settings_.shard_count_);
    }

    auto on_members(std::vector<std::string> members, time_point now) -> void {
        members_ = std::move(members);
        std::sort(members_.begin(), members_.end());
        const auto digest = members_digest();
        for (auto shard = 0U; shard < settings_.shard_count_; ++shard) {
            const auto candidates = preferred_and_standby(shard);
            preferred_owners_[shard] = candidates.first;
            shards_[shard].set_witnesses(members_, digest, now);
            shards_[shard].set_role(
                !draining_ && candidates.first == self_.name_,
                !draining_ && candidates.second == self_.name_, now);
        }
        deliver_local_messages(now);
    }

    auto release_all(time_point now) -> void {
        draining_ = true;
        for (auto& shard : shards_) {
            shard.set_role(false, false, now);
        }
    }

    auto deliver(const std::string& peer, claim_message message, time_point now)
        -> void {
        std::visit([&](auto& typed) { handle(peer, std::move(typed), now); },
                   message);
    }

    // Delivers messages addressed to this daemon directly, without the network.
    auto deliver_local_messages(time_point now) -> void {
        for (auto position = std::size_t{0}; position < outputs_.size();) {
            auto* message = std::get_if<send_output>(&outputs_[position]);
            if (message == nullptr || message->peer_ != self_.name_) {
                ++position;
                continue;
            }
            auto local_message = std::move(message->message_);
            outputs_.erase(outputs_.begin() +
                           static_cast<std::ptrdiff_t>(position));
            deliver(self_.name_, std::move(local_message), now);
        }
    }

    auto shard(std::uint32_t number) -> internal::claim_shard& {
        return shards_.at(number);
    }
    auto dispatcher() -> internal::claim_dispatcher& { return dispatcher_; }

    auto tick(time_point now) -> void {
        dispatcher_.tick(now);
        for (auto& shard : shards_) {
            shard.tick(now);
        }
        deliver_local_messages(now);
    }

    [[nodiscard]] auto idle() const -> bool {
        const auto is_inactive = [](const internal::claim_shard& shard) {
            return shard.phase() == internal::shard_phase::idle ||
                   shard.phase() == internal::shard_phase::following;
        };
        return dispatcher_.unconfirmed_result_count() == 0 &&
               std::all_of(shards_.begin(), shards_.end(), is_inactive);
    }

    auto poll() -> std::vector<claim_output> {
        auto taken = std::exchange(outputs_, {});
        for (const auto& output : taken) {
            statistics_.messages_ +=
                std::holds_alternative<send_output>(output);
        }
        return taken;
    }

    [[nodiscard]] auto statistics() const -> claim_statistics {
        auto sums = statistics_;
        for (const auto& shard : shards_) {
            sums.shards_owned_ += shard.owning();
            sums.keys_ += shard.index().size();
            sums.stored_bytes_ += shard.index().stored_bytes();
        }
        return sums;
    }

private:
    [[nodiscard]] auto members_digest() const -> std::uint64_t {
        auto text = std::string{};
        for (const auto& name : members_) {
            text += name + "\n";
        }
        return XXH3_64bits(text.data(), text.size());
    }

    // Returns the preferred owner and the standby by rendezvous hashing: a
    // membership change moves only the shards of members that joined or left.
    [[nodiscard]] auto preferred_and_standby(std::uint32_t shard) const
        -> std::pair<std::string, std::string> {
        using weighted = std::pair<std::uint64_t, std::string>;
        auto best = std::array<weighted, 2>{};
        for (const auto& name : members_) {
            auto candidate = weighted{
                XXH3_64bits_withSeed(name.data(), name.size(), shard), name};
            if (candidate > best[0]) {
                best[1] = std::exchange(best[0], std::move(candidate));
            } else if (candidate > best[1]) {
                best[1] = std::move(candidate);
            }
        }
        return {best[0].second, best[1].second};
    }

    // Returns the preferred owner of a key's shard; empty without members.
    [[nodiscard]] auto owner_of(const claim_key& key) const -> std::string {
        return preferred_owners_[shard_of(key, settings_.shard_count_)];
    }

    auto shard_for(const claim_key& key) -> internal::claim_shard& {
        return shards_[shard_of(key, settings_.shard_count_)];
    }

    auto handle(const std::string& peer, claim_request_message message,
                time_point now) -> void {
        auto& shard = shard_for(message.key_);
        shard.on_request(peer, std::move(message), now);
    }
    auto handle(const std::string& /*peer*/, const claim_grant_message& message,
                time_point now) -> void {
        dispatcher_.on_grant(message.request_id_, now);
    }
    auto handle(const std::string& /*peer*/, claim_refusal_message message,
                time_point now) -> void {
        dispatcher_.on_refusal(std::move(message), now);
    }
    auto handle(const std::string& /*peer*/, const not_owner_message& message,
                time_point now) -> void {
        dispatcher_.on_not_owner(message.request_id_, now);
    }
    auto handle(const std::string& peer, const claim_result_message& message,
                time_point now) -> void {
        shard_for(message.key_).on_result(peer, message, now);
    }
    auto handle(const std::string& /*peer*/,
                const result_stored_message& message, time_point /*now*/)
        -> void {
        dispatcher_.on_stored(message.request_id_);
    }
    auto handle(const std::string& peer, const claim_query_message& message,
                time_point /*now*/) -> void {
        dispatcher_.on_query(peer, message);
    }
    auto handle(const std::string& /*peer*/, const claim_state_message& message,
                time_point now) -> void {
        shard_for(message.key_).on_state(message, now);
    }
    auto handle(const std::string& peer, const epoch_query_message& message,
                time_point now) -> void {
        if (message.shard_ < shards_.size()) {
            shards_[message.shard_].on_epoch_query(peer, message, now);
        }
    }
    auto handle(const std::string& peer, const epoch_promise_message& message,
                time_point /*now*/) -> void {
        if (message.shard_ < shards_.size()) {
            shards_[message.shard_].on_epoch_promise(peer, message);
        }
    }

    claim_settings settings_;
    daemon_identity self_;
    std::vector<claim_output> outputs_;
    claim_statistics statistics_;
    internal::claim_dispatcher dispatcher_;
    std::deque<internal::claim_shard> shards_;
    std::vector<std::string> members_;
    std::vector<std::string> preferred_owners_;
    bool draining_ = false;
};

claim_service::claim_service(claim_settings settings, daemon_identity self,
                             const claim_guards* guards)
    : implementation_{std::make_unique<implementation>(
          settings, std::move(self),
          guards == nullptr ? default_guards() : *guards)} {}

claim_service::~claim_service() = default;

auto claim_service::on_members(std::vector<std::string> members, time_point now)
    -> void {
    implementation_->on_members(std::move(members), now);
}

auto claim_service::submit(claim_submission submission, time_point now)
    -> void {
    implementation_->dispatcher().submit(std::move(submission), now);
    implementation_->deliver_local_messages(now);
}

auto claim_service::finish(const std::string& request_id, stored_answer answer,
                           time_point now) -> void {
    implementation_->dispatcher().finish(request_id, std::move(answer), now);
    implementation_->deliver_local_messages(now);
}

auto claim_service::mark_outcome_unknown(const std::string& request_id,
                                         time_point now) -> void {
    implementation_->dispatcher().mark_outcome_unknown(request_id, now);
}

auto claim_service::abandon(const std::string& request_id, time_point now)
    -> void {
    implementation_->dispatcher().abandon(request_id, now);
    implementation_->deliver_local_messages(now);
}

auto claim_service::cancel(const std::string& request_id, time_point now)
    -> bool {
    const auto cancelled =
        implementation_->dispatcher().cancel(request_id, now);
    implementation_->deliver_local_messages(now);
    return cancelled;
}

auto claim_service::on_message(const std::string& peer, claim_message message,
                               time_point now) -> void {
    implementation_->deliver(peer, std::move(message), now);
    implementation_->deliver_local_messages(now);
}

auto claim_service::on_read(std::uint32_t shard, const claim_read& read,
                            time_point now) -> void {
    implementation_->shard(shard).on_read(read, now);
    implementation_->deliver_local_messages(now);
}

auto claim_service::on_read_failed(std::uint32_t shard, time_point now)
    -> void {
    implementation_->shard(shard).on_read_failed();
    implementation_->deliver_local_messages(now);
}

auto claim_service::on_append_result(std::uint32_t shard, std::uint64_t ticket,
                                     append_status status, time_point now)
    -> void {
    implementation_->shard(shard).on_append_result(ticket, status, now);
    implementation_->deliver_local_messages(now);
}

auto claim_service::tick(time_point now) -> void {
    implementation_->tick(now);
}

auto claim_service::release_all(time_point now) -> void {
    implementation_->release_all(now);
}

auto claim_service::idle() const -> bool {
    return implementation_->idle();
}

auto claim_service::poll() -> std::vector<claim_output> {
    return implementation_->poll();
}

auto claim_service::statistics() const -> claim_statistics {
    return implementation_->statistics();
}

auto claim_service::owns(std::uint32_t shard) const -> bool {
    return implementation_->shard(shard).owning();
}

} // namespace basilstream::coordination
