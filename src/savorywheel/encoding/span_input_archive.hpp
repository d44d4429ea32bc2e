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
 * @brief cereal archive that reads a span and never trusts a length in it.
 *
 * A container may announce no more elements than there are bytes left, so that a faulty peer
 * cannot make the reader allocate more than a small multiple of what it sent.
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

    /** @brief Takes raw bytes; throws cereal::Exception if there are too few. */
    void read(void* target, std::size_t size)
    {
        require(size);
        if (size > 0) {
            std::memcpy(target, remaining_.data(), size);
        }
        remaining_ = remaining_.subspan(size);
    }

    /** @brief Throws cereal::Exception if there are fewer bytes left. */
    void require(std::size_t size) const
    {
        if (size > remaining_.size()) {
            throw cereal::Exception{"message too short"};
        }
    }

    /** @return Bytes that were not read. */
    [[nodiscard]] std::size_t remaining() const noexcept { return remaining_.size(); }

private:
    std::span<const std::byte> remaining_;
};

/** @brief Reads a number. */
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

/** @brief Reads the value of a named pair. */
template<typename Type>
void CEREAL_LOAD_FUNCTION_NAME(span_input_archive& archive, cereal::NameValuePair<Type>& pair)
{
    archive(pair.value);
}

/** @brief Reads the number of elements of a container. */
template<typename Type>
void CEREAL_LOAD_FUNCTION_NAME(span_input_archive& archive, cereal::SizeTag<Type>& tag)
{
    std::uint32_t size{};
    archive(size);
    archive.require(size);
    tag.size = size;
}

/** @brief Reads a block of bytes. */
template<typename Type>
void CEREAL_LOAD_FUNCTION_NAME(span_input_archive& archive, cereal::BinaryData<Type>& block)
{
    archive.read(block.data, static_cast<std::size_t>(block.size));
}

} // namespace savorywheel

CEREAL_REGISTER_ARCHIVE(savorywheel::span_input_archive)
CEREAL_SETUP_ARCHIVE_TRAITS(savorywheel::span_input_archive, savorywheel::vector_output_archive)

#endif
