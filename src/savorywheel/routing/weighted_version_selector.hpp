#ifndef SAVORYWHEEL_ROUTING_WEIGHTED_VERSION_SELECTOR_HPP
#define SAVORYWHEEL_ROUTING_WEIGHTED_VERSION_SELECTOR_HPP

#include <savorywheel/core/random_source.hpp>
#include <savorywheel/routing/version_selector.hpp>

namespace savorywheel {

/** @brief Selects a version with an endpoint at random by the weights in force. */
class weighted_version_selector final : public version_selector {
public:
    /** @param random Random number source; must outlive this object. */
    explicit weighted_version_selector(random_source& random) noexcept : random_{random} {}

    [[nodiscard]] std::optional<version_name> select(const service_routes& routes) override;

private:
    random_source& random_;
};

} // namespace savorywheel

#endif
