#ifndef SAVORYWHEEL_ENCODING_ENUM_ARCHIVE_HPP
#define SAVORYWHEEL_ENCODING_ENUM_ARCHIVE_HPP

#include <cereal/cereal.hpp>

#include <type_traits>

namespace savorywheel {

/**
 * @brief Lists a member of enumeration type; a value that does not exist is refused on reading.
 * @param archive Archive.
 * @param name Name of the member.
 * @param value The member.
 * @param last The greatest value that exists.
 */
template<typename Archive, typename Enum>
void archive_enum(Archive& archive, const char* name, Enum& value, Enum last)
{
    auto number = static_cast<std::underlying_type_t<Enum>>(value);
    archive(cereal::make_nvp(name, number));
    if constexpr (Archive::is_loading::value) {
        if (number > static_cast<std::underlying_type_t<Enum>>(last)) {
            throw cereal::Exception{"a value that does not exist"};
        }
        value = static_cast<Enum>(number);
    }
}

} // namespace savorywheel

#endif
