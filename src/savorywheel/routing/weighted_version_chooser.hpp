#ifndef SAVORYWHEEL_ROUTING_WEIGHTED_VERSION_CHOOSER_HPP
#define SAVORYWHEEL_ROUTING_WEIGHTED_VERSION_CHOOSER_HPP

#include <savorywheel/core/random_source.hpp>
#include <savorywheel/routing/version_chooser.hpp>

namespace savorywheel {

/** @brief Chooses at random by the shares of the versions that have an endpoint. */
class weighted_version_chooser final : public version_chooser {
public:
    /** @param random Random numbers; must outlive the chooser. */
    explicit weighted_version_chooser(random_source& random) noexcept : random_{random} {}

    [[nodiscard]] std::optional<version_name> choose(const service_routes& routes) override;

private:
    random_source& random_;
};

} // namespace savorywheel

#endif
