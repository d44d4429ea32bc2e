#include <savorywheel/encoding/codec_impl.hpp>
#include <savorywheel/encoding/compression.hpp>
#include <savorywheel/encoding/distribution_archive.hpp>
#include <savorywheel/encoding/document_answer_codec.hpp>

namespace savorywheel {

namespace {

/** Format of the bytes that follow the first one. */
constexpr std::uint8_t plain_format = 0;
/** The size of the message as 32 bits, and the compressed message. */
constexpr std::uint8_t compressed_format = 1;
constexpr std::size_t compressed_header = 1 + sizeof(std::uint32_t);
/** Compressing fewer bytes saves no packet. */
constexpr std::size_t min_compressed_bytes = 512;

} // namespace

std::vector<std::byte> encode_document_answer(const document_answer& answer)
{
    const auto message = encode(answer);
    const auto packed =
        message.size() < min_compressed_bytes ? std::vector<std::byte>{} : compress(message);
    std::vector<std::byte> bytes;
    vector_output_archive archive{bytes};
    if (packed.empty()) {
        archive(plain_format);
        bytes.insert(bytes.end(), message.begin(), message.end());
    }
    else {
        archive(compressed_format, static_cast<std::uint32_t>(message.size()));
        bytes.insert(bytes.end(), packed.begin(), packed.end());
    }
    return bytes;
}

outcome<document_answer> decode_document_answer(std::span<const std::byte> bytes)
{
    if (!bytes.empty() && bytes.front() == std::byte{plain_format}) {
        return decode<document_answer>(bytes.subspan(1));
    }
    if (bytes.size() < compressed_header || bytes.front() != std::byte{compressed_format}) {
        return failure{failure_code::malformed, "document answer of an unknown format"};
    }
    std::uint32_t size{};
    span_input_archive{bytes.subspan(1)}.read(&size, sizeof(size));
    if (size > max_document_answer_bytes) {
        return failure{failure_code::malformed, "document answer too large"};
    }
    const auto message = decompress(bytes.subspan(compressed_header), size);
    return message ? decode<document_answer>(*message) : outcome<document_answer>{message.reason()};
}

} // namespace savorywheel
