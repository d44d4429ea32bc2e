#include <savorywheel/encoding/admin_archive.hpp>
#include <savorywheel/encoding/codec_impl.hpp>

namespace savorywheel {

template std::string encode_json(const backend_server&);
template std::string encode_json(const apply_report&);
template std::string encode_json(const status_report&);
template std::string encode_json(const node_state_dump&);
template outcome<backend_server> decode_json(std::string_view);
template outcome<apply_report> decode_json(std::string_view);
template outcome<status_report> decode_json(std::string_view);
template outcome<node_state_dump> decode_json(std::string_view);

} // namespace savorywheel
