#include <savorywheel/http/message_memory.hpp>

#include <algorithm>

namespace savorywheel {

namespace {

/** What the allocator adds to a block, in bytes. */
constexpr std::size_t block_overhead_bytes = 16;
/** Blocks of this size come from the system one by one, in bytes. */
constexpr std::size_t large_block_bytes = 128UL * 1024UL;

} // namespace

std::size_t memory_of(const std::string& text) noexcept
{
    static const std::size_t inner_capacity = std::string{}.capacity();
    if (text.capacity() <= inner_capacity) {
        return 0;
    }
    return std::max(text.size(), std::min(text.capacity(), large_block_bytes)) +
           block_overhead_bytes;
}

std::size_t memory_of(const http_header& field) noexcept
{
    return memory_of(field.name) + memory_of(field.value);
}

std::size_t memory_of_elements(const std::vector<http_header>& fields) noexcept
{
    return fields.capacity() * sizeof(http_header);
}

std::size_t memory_of(const http_response& response) noexcept
{
    auto bytes = memory_of(response.body) + memory_of_elements(response.headers);
    for (const auto& field : response.headers) {
        bytes += memory_of(field);
    }
    return bytes;
}

} // namespace savorywheel
