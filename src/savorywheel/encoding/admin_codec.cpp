#include <savorywheel/encoding/admin_archive.hpp>
#include <savorywheel/encoding/codec_impl.hpp>

namespace savorywheel {

template std::string encode_json(const backend_server&);
template std::string encode_json(const change_report&);
template std::string encode_json(const status_report&);
template std::string encode_json(const node_state_dump&);
template outcome<backend_server> decode_json(std::string_view);
template outcome<change_report> decode_json(std::string_view);
template outcome<status_report> decode_json(std::string_view);
template outcome<node_state_dump> decode_json(std::string_view);
template std::string encode_json(const override_request&);
template std::string encode_json(const override_report&);
template std::string encode_json(const history_report&);
template std::string encode_json(const diff_report&);
template std::string encode_json(const operation_record&);
template std::string encode_json(const archived_text&);
template outcome<override_request> decode_json(std::string_view);
template outcome<override_report> decode_json(std::string_view);
template outcome<history_report> decode_json(std::string_view);
template outcome<diff_report> decode_json(std::string_view);
template outcome<operation_record> decode_json(std::string_view);
template outcome<archived_text> decode_json(std::string_view);

} // namespace savorywheel
