/// Bounds the bytes that many holders keep in memory together.
///
///     auto budget = byte_budget{std::size_t{32} << 20U};
///     auto lease = byte_lease{budget};
///     if (!lease.resize(buffer.size())) { drop(buffer); }
///
/// Load pattern: many answers in progress at once, each below the bound of a
/// single one, that exceed the memory of a daemon together, as servers send
/// them without end.
///
/// Not safe for concurrent use. A budget must outlive its leases.
#pragma once

#include <cstddef>

namespace basilstream::coordination {

/// The limit and what is in use of it.
class byte_budget {
public:
    explicit byte_budget(std::size_t limit) : limit_{limit} {}
    [[nodiscard]] auto used() const -> std::size_t { return used_; }
    [[nodiscard]] auto limit() const -> std::size_t { return limit_; }

private:
    friend class byte_lease;
    const std::size_t limit_;
    std::size_t used_ = 0;
};

/// The share of one holder, which is returned when the lease is destroyed.
class byte_lease {
public:
    explicit byte_lease(byte_budget& budget) : budget_{budget} {}
    byte_lease(const byte_lease&) = delete;
    auto operator=(const byte_lease&) -> byte_lease& = delete;
    ~byte_lease() { budget_.used_ -= held_; }

    /// Sets the number of bytes held. Returns false, and changes nothing, if
    /// the budget does not allow more. Holding less is always possible.
    [[nodiscard]] auto resize(std::size_t bytes) -> bool {
        const auto others = budget_.used_ - held_;
        if (bytes > held_ &&
            (others > budget_.limit_ || bytes > budget_.limit_ - others)) {
            return false;
        }
        hold(bytes);
        return true;
    }
    /// Sets the number of bytes held, also beyond the limit, for those that
    /// are in memory already.
    auto hold(std::size_t bytes) -> void {
        budget_.used_ = budget_.used_ - held_ + bytes;
        held_ = bytes;
    }

private:
    byte_budget& budget_;
    std::size_t held_ = 0;
};

} // namespace basilstream::coordination
