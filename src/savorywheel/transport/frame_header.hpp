#ifndef SAVORYWHEEL_TRANSPORT_FRAME_HEADER_HPP
#define SAVORYWHEEL_TRANSPORT_FRAME_HEADER_HPP

#include <savorywheel/core/outcome.hpp>
#include <savorywheel/transport/frame_kind.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>

namespace savorywheel {

/** @brief Version of the protocol between nodes. */
inline constexpr std::uint8_t protocol_version = 4;

/** @brief Size of an encoded header, in bytes. */
inline constexpr std::size_t frame_header_bytes = 14;

/** @brief Maximum payload of a frame, in bytes. */
inline constexpr std::uint32_t max_frame_bytes = 16U * 1024U * 1024U;

/** @brief Header that precedes each payload on a stream between nodes. */
struct frame_header {
    /** @brief Payload length, in bytes. */
    std::uint32_t length{};
    /** @brief Determines the format of the payload. */
    frame_kind kind{frame_kind::heartbeat};
    /** @brief Identifier that a response shares with its request. */
    std::uint64_t correlation{};
};

/** @return The header in network byte order. */
[[nodiscard]] std::array<std::byte, frame_header_bytes>
encode_header(const frame_header& header) noexcept;

/**
 * @brief Decodes and validates a header.
 * @return The header; a failure with code `malformed` if the protocol version or the kind is
 * unknown, or the payload too long.
 */
[[nodiscard]] outcome<frame_header>
decode_header(std::span<const std::byte, frame_header_bytes> bytes);

} // namespace savorywheel

#endif
