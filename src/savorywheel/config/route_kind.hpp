#ifndef SAVORYWHEEL_CONFIG_ROUTE_KIND_HPP
#define SAVORYWHEEL_CONFIG_ROUTE_KIND_HPP

#include <cstdint>

namespace savorywheel {

/** @brief How often a route's requests may be executed, and the size of their bodies. */
enum class route_kind : std::uint8_t {
    idempotent,     /**< A request may be executed more than once. */
    non_idempotent, /**< A request must be executed at most once. */
    upload,         /**< Like non_idempotent, with a large body. */
    download,       /**< Like idempotent, with a large response. */
    last_kind = download
};

/** @return True if a request may be executed more than once. */
[[nodiscard]] constexpr bool is_idempotent(route_kind kind) noexcept
{
    return kind == route_kind::idempotent || kind == route_kind::download;
}

} // namespace savorywheel

#endif
