#ifndef SAVORYWHEEL_TRAFFIC_NAMED_REQUEST_HPP
#define SAVORYWHEEL_TRAFFIC_NAMED_REQUEST_HPP

#include <cstdint>
#include <string_view>

namespace savorywheel {

/** @brief Request that a response names by its id. */
enum class named_request : std::uint8_t {
    none, /**< The response names no request. */
    own,  /**< The response names the request that was sent. */
    other /**< The response names another request. */
};

/** @return Value of a log field. */
[[nodiscard]] std::string_view to_string(named_request request) noexcept;

} // namespace savorywheel

#endif
