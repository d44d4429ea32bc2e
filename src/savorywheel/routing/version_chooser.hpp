#ifndef SAVORYWHEEL_ROUTING_VERSION_CHOOSER_HPP
#define SAVORYWHEEL_ROUTING_VERSION_CHOOSER_HPP

#include <savorywheel/routing/service_routes.hpp>

#include <optional>

namespace savorywheel {

/** @brief Selects the version that a call is sent to. */
class version_chooser {
public:
    version_chooser() = default;
    version_chooser(const version_chooser&) = delete;
    version_chooser& operator=(const version_chooser&) = delete;
    version_chooser(version_chooser&&) = delete;
    version_chooser& operator=(version_chooser&&) = delete;
    virtual ~version_chooser() = default;

    /** @return The version; std::nullopt if no version with a weight has an endpoint. */
    [[nodiscard]] virtual std::optional<version_name> choose(const service_routes& routes) = 0;
};

} // namespace savorywheel

#endif
