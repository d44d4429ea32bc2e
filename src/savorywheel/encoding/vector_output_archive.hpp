#ifndef SAVORYWHEEL_ENCODING_VECTOR_OUTPUT_ARCHIVE_HPP
#define SAVORYWHEEL_ENCODING_VECTOR_OUTPUT_ARCHIVE_HPP

#include <cereal/cereal.hpp>

#include <bit>
#include <cstddef>
#include <cstring>
#include <span>
#include <type_traits>
#include <vector>

namespace savorywheel {

static_assert(std::endian::native == std::endian::little, "messages are little-endian");

/** @brief cereal archive that appends to a byte vector. */
class vector_output_archive
    : public cereal::OutputArchive<vector_output_archive, cereal::AllowEmptyClassElision> {
public:
    /** @param target Receives the bytes; must outlive the archive. */
    explicit vector_output_archive(std::vector<std::byte>& target)
        : cereal::OutputArchive<vector_output_archive, cereal::AllowEmptyClassElision>{this},
          target_{target}
    {
    }

    void write(const void* data, std::size_t size)
    {
        if (size == 0) {
            return;
        }
        const auto old_size = target_.size();
        target_.resize(old_size + size);
        std::memcpy(target_.data() + old_size, data, size);
    }

private:
    std::vector<std::byte>& target_;
};

template<typename Number>
requires std::is_arithmetic_v<Number>
void CEREAL_SAVE_FUNCTION_NAME(vector_output_archive& archive, const Number& value)
{
    archive.write(&value, sizeof(value));
}

/** @brief Writes the value only; the binary format has no field names. */
template<typename Type>
void CEREAL_SAVE_FUNCTION_NAME(vector_output_archive& archive,
                               const cereal::NameValuePair<Type>& pair)
{
    archive(pair.value);
}

/** @brief Writes the size of a container as 32 bits. */
template<typename Type>
void CEREAL_SAVE_FUNCTION_NAME(vector_output_archive& archive, const cereal::SizeTag<Type>& tag)
{
    archive(static_cast<std::uint32_t>(tag.size));
}

template<typename Type>
void CEREAL_SAVE_FUNCTION_NAME(vector_output_archive& archive,
                               const cereal::BinaryData<Type>& block)
{
    archive.write(block.data, static_cast<std::size_t>(block.size));
}

} // namespace savorywheel

CEREAL_REGISTER_ARCHIVE(savorywheel::vector_output_archive)

#endif
