#ifndef SAVORYWHEEL_CONFIG_ROUTE_KIND_HPP
#define SAVORYWHEEL_CONFIG_ROUTE_KIND_HPP

#include <cstdint>

namespace savorywheel {

/** @brief What a route's requests allow the mesh to do with them. */
enum class route_kind : std::uint8_t {
    idempotent,     /**< A request may be executed more than once. */
    non_idempotent, /**< A request must be executed once at most. */
    upload,         /**< As non_idempotent, with a large body. */
    last_kind = upload
};

} // namespace savorywheel

#endif
