#ifndef SAVORYWHEEL_ENCODING_STORE_ARCHIVE_HPP
#define SAVORYWHEEL_ENCODING_STORE_ARCHIVE_HPP

#include <savorywheel/store/object_list.hpp>

#include <cereal/cereal.hpp>

namespace savorywheel {

template<typename Archive>
void serialize(Archive& archive, stored_object& object)
{
    archive(cereal::make_nvp("key", object.key), cereal::make_nvp("value", object.value),
            cereal::make_nvp("revision", object.revision));
}

template<typename Archive>
void serialize(Archive& archive, object_list& list)
{
    archive(cereal::make_nvp("revision", list.revision), cereal::make_nvp("objects", list.objects));
}

} // namespace savorywheel

#endif
