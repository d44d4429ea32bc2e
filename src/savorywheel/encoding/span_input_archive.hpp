#ifndef SAVORYWHEEL_ENCODING_SPAN_INPUT_ARCHIVE_HPP
#define SAVORYWHEEL_ENCODING_SPAN_INPUT_ARCHIVE_HPP

#include <savorywheel/encoding/vector_output_archive.hpp>

#include <cereal/cereal.hpp>

#include <cstddef>
#include <cstdint>
#include <cstring>
#include <span>
#include <type_traits>

namespace savorywheel {

/**
 * @brief Bounds-checked cereal archive that reads from a span.
 *
 * A container size above the number of remaining bytes is rejected, so that a faulty peer cannot
 * cause allocations of more than a small multiple of the message size.
 */
class span_input_archive
    : public cereal::InputArchive<span_input_archive, cereal::AllowEmptyClassElision> {
public:
    /** @param source Encoded bytes; must outlive the archive. */
    explicit span_input_archive(std::span<const std::byte> source)
        : cereal::InputArchive<span_input_archive, cereal::AllowEmptyClassElision>{this},
          remaining_{source}
    {
    }

    /** @brief Copies raw bytes; throws cereal::Exception if too few remain. */
    void read(void* target, std::size_t size)
    {
        require(size);
        if (size > 0) {
            std::memcpy(target, remaining_.data(), size);
        }
        remaining_ = remaining_.subspan(size);
    }

    /** @brief Throws cereal::Exception if fewer than `size` bytes remain. */
    void require(std::size_t size) const
    {
        if (size > remaining_.size()) {
            throw cereal::Exception{"message too short"};
        }
    }

    /** @return The number of unread bytes. */
    [[nodiscard]] std::size_t remaining() const noexcept { return remaining_.size(); }

private:
    std::span<const std::byte> remaining_;
};

template<typename Number>
requires std::is_arithmetic_v<Number>
void CEREAL_LOAD_FUNCTION_NAME(span_input_archive& archive, Number& value)
{
    if constexpr (std::is_same_v<Number, bool>) {
        std::uint8_t byte{};
        archive.read(&byte, sizeof(byte));
        value = byte != 0;
    }
    else {
        archive.read(&value, sizeof(value));
    }
}

/** @brief Reads the value only; the binary format has no field names. */
template<typename Type>
void CEREAL_LOAD_FUNCTION_NAME(span_input_archive& archive, cereal::NameValuePair<Type>& pair)
{
    archive(pair.value);
}

/** @brief Reads the size of a container as 32 bits. */
template<typename Type>
void CEREAL_LOAD_FUNCTION_NAME(span_input_archive& archive, cereal::SizeTag<Type>& tag)
{
    std::uint32_t size{};
    archive(size);
    archive.require(size);
    tag.size = size;
}

template<typename Type>
void CEREAL_LOAD_FUNCTION_NAME(span_input_archive& archive, cereal::BinaryData<Type>& block)
{
    archive.read(block.data, static_cast<std::size_t>(block.size));
}

} // namespace savorywheel

CEREAL_REGISTER_ARCHIVE(savorywheel::span_input_archive)
CEREAL_SETUP_ARCHIVE_TRAITS(savorywheel::span_input_archive, savorywheel::vector_output_archive)

#endif
