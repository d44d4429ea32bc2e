#include <savorywheel/encoding/codec_impl.hpp>
#include <savorywheel/encoding/store_archive.hpp>

namespace savorywheel {

template std::string encode_json(const object_list&);
template outcome<object_list> decode_json(std::string_view);

} // namespace savorywheel
