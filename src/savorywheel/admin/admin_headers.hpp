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

/** @brief Header field with the version that the operator had seen. */
inline constexpr std::string_view base_header = "x-savorywheel-base";

/** @brief Header field with the operation that the operator's program chose. */
inline constexpr std::string_view operation_header = "x-savorywheel-operation";

/** @return The version that the operator had seen, if the request tells it; or malformed. */
[[nodiscard]] outcome<std::optional<config_version>> read_base_version(const http_request& request);

/** @return The operation of the request, empty if it tells none; or malformed. */
[[nodiscard]] outcome<operation_id> read_operation(const http_request& request);

} // namespace savorywheel

#endif
