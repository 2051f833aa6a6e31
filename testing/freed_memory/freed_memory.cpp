#include "testing/freed_memory/freed_memory.hpp"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <cstring>
#include <mutex>
#include <new>
#include <utility>

#include <malloc.h>

namespace basilstream::testing {
namespace {

constexpr auto freed_byte = static_cast<unsigned char>(0xdb);
constexpr auto largest_kept_block = std::size_t{8} * 1024;
constexpr auto kept_blocks = std::size_t{16} * 1024;

// Blocks that were freed last, filled with freed_byte. Takes no memory itself.
class freed_blocks {
public:
    auto free(void* block) -> void {
        const auto size = malloc_usable_size(block);
        if (size > largest_kept_block) {
            std::free(block);
            return;
        }
        std::memset(block, freed_byte, size);
        const auto guard = std::lock_guard{mutex_};
        auto& place = blocks_[next_++ % blocks_.size()];
        release(place);
        place = static_cast<unsigned char*>(block);
    }
    // Returns how many blocks have been written to after they were freed, since
    // the last call.
    auto take_written() -> int {
        const auto guard = std::lock_guard{mutex_};
        for (auto& place : blocks_) {
            release(place);
        }
        return std::exchange(written_, 0);
    }

private:
    auto release(unsigned char*& block) -> void {
        if (block == nullptr) {
            return;
        }
        const auto* const end = block + malloc_usable_size(block);
        const auto is_unchanged =
            std::all_of(static_cast<const unsigned char*>(block), end,
                        [](unsigned char byte) { return byte == freed_byte; });
        written_ += is_unchanged ? 0 : 1;
        std::free(block);
        block = nullptr;
    }

    std::mutex mutex_;
    std::array<unsigned char*, kept_blocks> blocks_{};
    std::size_t next_ = 0;
    int written_ = 0;
};

constinit auto freed = freed_blocks{};

} // namespace

auto take_written_blocks() -> int {
    return freed.take_written();
}

} // namespace basilstream::testing

auto operator new(std::size_t size) -> void* {
    if (auto* const block = std::malloc(size)) {
        return block;
    }
    throw std::bad_alloc{};
}

auto operator delete(void* block) noexcept -> void {
    if (block != nullptr) {
        basilstream::testing::freed.free(block);
    }
}

auto operator delete(void* block, std::size_t /*size*/) noexcept -> void {
    operator delete(block);
}
