#ifndef SAVORYWHEEL_ROUTING_WEIGHTED_VERSION_SELECTOR_HPP
#define SAVORYWHEEL_ROUTING_WEIGHTED_VERSION_SELECTOR_HPP

#include <savorywheel/core/random_source.hpp>
#include <savorywheel/routing/version_selector.hpp>

namespace savorywheel {

/** @brief Chooses at random by the shares of the versions that have an endpoint. */
class weighted_version_selector final : public version_selector {
public:
    /** @param random Random numbers; must outlive the chooser. */
    explicit weighted_version_selector(random_source& random) noexcept : random_{random} {}

    [[nodiscard]] std::optional<version_name> select(const service_routes& routes) override;

private:
    random_source& random_;
};

} // namespace savorywheel

#endif
