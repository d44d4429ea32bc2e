#include <savorywheel/transport/frame_header.hpp>

#include <fmt/format.h>

namespace savorywheel {

namespace {

constexpr unsigned bits_per_byte = 8;
constexpr std::size_t length_offset = 2;
constexpr std::size_t correlation_offset = 6;

template<typename Number>
void write_big_endian(std::span<std::byte> target, Number value) noexcept
{
    for (std::size_t i = sizeof(Number); i-- > 0;) {
        target[i] = static_cast<std::byte>(value & 0xFFU);
        value = static_cast<Number>(value >> bits_per_byte);
    }
}

template<typename Number>
Number read_big_endian(std::span<const std::byte> source) noexcept
{
    Number value{};
    for (std::size_t i = 0; i < sizeof(Number); ++i) {
        value = static_cast<Number>((value << bits_per_byte) | std::to_integer<Number>(source[i]));
    }
    return value;
}

} // namespace

std::array<std::byte, frame_header_bytes> encode_header(const frame_header& header) noexcept
{
    std::array<std::byte, frame_header_bytes> bytes{};
    bytes[0] = std::byte{protocol_version};
    bytes[1] = static_cast<std::byte>(header.kind);
    write_big_endian(std::span{bytes}.subspan(length_offset), header.length);
    write_big_endian(std::span{bytes}.subspan(correlation_offset), header.correlation);
    return bytes;
}

outcome<frame_header> decode_header(std::span<const std::byte, frame_header_bytes> bytes)
{
    if (bytes[0] != std::byte{protocol_version}) {
        return failure{failure_code::malformed, fmt::format("unsupported protocol version {}",
                                                            std::to_integer<int>(bytes[0]))};
    }
    const auto kind = std::to_integer<std::uint8_t>(bytes[1]);
    if (kind > static_cast<std::uint8_t>(frame_kind::last_kind)) {
        return failure{failure_code::malformed, fmt::format("unknown frame kind {}", kind)};
    }
    frame_header header;
    header.kind = static_cast<frame_kind>(kind);
    header.length = read_big_endian<std::uint32_t>(bytes.subspan(length_offset));
    header.correlation = read_big_endian<std::uint64_t>(bytes.subspan(correlation_offset));
    if (header.length > max_frame_bytes) {
        return failure{failure_code::malformed,
                       fmt::format("frame payload of {} bytes exceeds the limit", header.length)};
    }
    return header;
}

} // namespace savorywheel
