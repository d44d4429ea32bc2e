#ifndef SAVORYWHEEL_ENCODING_COMPRESSION_HPP
#define SAVORYWHEEL_ENCODING_COMPRESSION_HPP

#include <savorywheel/core/outcome.hpp>

#include <cstddef>
#include <span>
#include <vector>

namespace savorywheel {

/**
 * @brief Compresses bytes in the format of zlib (RFC 1950).
 * @return The compressed bytes; empty if they would not be fewer.
 */
[[nodiscard]] std::vector<std::byte> compress(std::span<const std::byte> bytes);

/**
 * @brief Decompresses bytes in the format of zlib.
 * @param bytes Compressed bytes; untrusted, as they may come from a faulty peer.
 * @param size Size of the decompressed bytes, as the sender stated it.
 * @return The bytes; malformed if they are not exactly `size`. Allocates no more than `size`.
 */
[[nodiscard]] outcome<std::vector<std::byte>> decompress(std::span<const std::byte> bytes,
                                                         std::size_t size);

} // namespace savorywheel

#endif
