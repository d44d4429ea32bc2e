#ifndef SAVORYWHEEL_ENCODING_NUMBER_ARCHIVE_HPP
#define SAVORYWHEEL_ENCODING_NUMBER_ARCHIVE_HPP

#include <cereal/cereal.hpp>

#include <concepts>
#include <cstdint>
#include <limits>

namespace savorywheel {

/**
 * @brief Serializes an unsigned field.
 *
 * The JSON archive truncates a number that does not fit into its field; here it is rejected.
 * @param archive Input or output archive.
 * @param name Field name.
 * @param value The field.
 */
template<typename Archive, std::unsigned_integral Number>
void archive_number(Archive& archive, const char* name, Number& value)
{
    if constexpr (Archive::is_loading::value && cereal::traits::is_text_archive<Archive>::value) {
        std::uint64_t number{};
        archive(cereal::make_nvp(name, number));
        if (number > std::numeric_limits<Number>::max()) {
            throw cereal::Exception{"a number beyond the range of its field"};
        }
        value = static_cast<Number>(number);
    }
    else {
        archive(cereal::make_nvp(name, value));
    }
}

} // namespace savorywheel

#endif
