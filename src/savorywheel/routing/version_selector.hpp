#ifndef SAVORYWHEEL_ROUTING_VERSION_SELECTOR_HPP
#define SAVORYWHEEL_ROUTING_VERSION_SELECTOR_HPP

#include <savorywheel/routing/service_routes.hpp>

#include <optional>

namespace savorywheel {

/** @brief Selects the version that a call is sent to. */
class version_selector {
public:
    version_selector() = default;
    version_selector(const version_selector&) = delete;
    version_selector& operator=(const version_selector&) = delete;
    version_selector(version_selector&&) = delete;
    version_selector& operator=(version_selector&&) = delete;
    virtual ~version_selector() = default;

    /** @return The version; std::nullopt if no version with a weight has an endpoint. */
    [[nodiscard]] virtual std::optional<version_name> select(const service_routes& routes) = 0;
};

} // namespace savorywheel

#endif
