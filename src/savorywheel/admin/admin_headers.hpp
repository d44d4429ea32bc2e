#ifndef SAVORYWHEEL_ADMIN_ADMIN_HEADERS_HPP
#define SAVORYWHEEL_ADMIN_ADMIN_HEADERS_HPP

#include <savorywheel/core/config_version.hpp>
#include <savorywheel/core/names.hpp>
#include <savorywheel/core/outcome.hpp>
#include <savorywheel/http/http_request.hpp>

#include <optional>
#include <string_view>

namespace savorywheel {

/** @brief Header field with the operator's key. */
inline constexpr std::string_view key_header = "x-savorywheel-key";

/** @brief Header field with the version on which the operator based the change. */
inline constexpr std::string_view base_header = "x-savorywheel-base";

/** @brief Header field with an operation id chosen by the operator's client. */
inline constexpr std::string_view operation_header = "x-savorywheel-operation";

/** @return Base version of the request, std::nullopt if it has none; or malformed. */
[[nodiscard]] outcome<std::optional<config_version>> read_base_version(const http_request& request);

/** @return Operation id of the request, empty if it has none; or malformed. */
[[nodiscard]] outcome<operation_id> read_operation(const http_request& request);

} // namespace savorywheel

#endif
