#include <savorywheel/core/allocator.hpp>

#include <malloc.h>

namespace savorywheel {

namespace {

/** Default of the allocator before it adapts, in bytes. */
constexpr int large_block_bytes = 128 * 1024;

} // namespace

bool return_large_blocks_to_the_system() noexcept
{
    return ::mallopt(M_MMAP_THRESHOLD, large_block_bytes) == 1;
}

} // namespace savorywheel
