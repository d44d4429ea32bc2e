#ifndef SAVORYWHEEL_ENCODING_ENUM_ARCHIVE_HPP
#define SAVORYWHEEL_ENCODING_ENUM_ARCHIVE_HPP

#include <savorywheel/encoding/number_archive.hpp>

#include <cereal/cereal.hpp>

#include <type_traits>

namespace savorywheel {

/**
 * @brief Serializes an enumeration field; undefined values are rejected when reading.
 * @param archive Input or output archive.
 * @param name Field name.
 * @param value The field.
 * @param last Greatest defined enumerator.
 */
template<typename Archive, typename Enum>
void archive_enum(Archive& archive, const char* name, Enum& value, Enum last)
{
    auto number = static_cast<std::underlying_type_t<Enum>>(value);
    archive_number(archive, name, number);
    if constexpr (Archive::is_loading::value) {
        if (number > static_cast<std::underlying_type_t<Enum>>(last)) {
            throw cereal::Exception{"a value that does not exist"};
        }
        value = static_cast<Enum>(number);
    }
}

} // namespace savorywheel

#endif
