#ifndef SAVORYWHEEL_STANDIN_SUPPORT_QUERY_HPP
#define SAVORYWHEEL_STANDIN_SUPPORT_QUERY_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace savorywheel::standin {

/** @return The path of a request target, without the query. */
[[nodiscard]] std::string_view path_of(std::string_view target) noexcept;

/** @return The decoded value of a query parameter; empty if it is absent. */
[[nodiscard]] std::string query_text(std::string_view target, std::string_view name);

/** @return The value of an integer query parameter; the fallback if it is absent or invalid. */
[[nodiscard]] std::uint64_t query_number(std::string_view target, std::string_view name,
                                         std::uint64_t fallback);

} // namespace savorywheel::standin

#endif
