#ifndef SAVORYWHEEL_CONFIG_ROUTE_KIND_HPP
#define SAVORYWHEEL_CONFIG_ROUTE_KIND_HPP

#include <cstdint>

namespace savorywheel {

/** @brief How often a route's requests may be executed, and their body size. */
enum class route_kind : std::uint8_t {
    idempotent,     /**< A request may be executed more than once. */
    non_idempotent, /**< A request must be executed at most once. */
    upload,         /**< Like non_idempotent, with a large body. */
    last_kind = upload
};

} // namespace savorywheel

#endif
