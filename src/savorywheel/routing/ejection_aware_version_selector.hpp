#ifndef SAVORYWHEEL_ROUTING_EJECTION_AWARE_VERSION_SELECTOR_HPP
#define SAVORYWHEEL_ROUTING_EJECTION_AWARE_VERSION_SELECTOR_HPP

#include <savorywheel/core/random_source.hpp>
#include <savorywheel/routing/version_ejections.hpp>
#include <savorywheel/routing/version_selector.hpp>

namespace savorywheel {

/**
 * @brief Selects by the weights from before a rollout move while its new version is ejected.
 *
 * An override takes precedence over an ejection. The ejection is ignored if no old version has an
 * endpoint.
 */
class ejection_aware_version_selector final : public version_selector {
public:
    /**
     * @param inner Selector used when nothing is ejected; must outlive this object.
     * @param ejections Ejected moves; must outlive this object.
     * @param random Random number source; must outlive this object.
     */
    ejection_aware_version_selector(version_selector& inner, const version_ejections& ejections,
                                    random_source& random) noexcept
        : inner_{inner}, ejections_{ejections}, random_{random}
    {
    }

    [[nodiscard]] std::optional<version_name> select(const service_routes& routes) override;

private:
    version_selector& inner_;
    const version_ejections& ejections_;
    random_source& random_;
};

} // namespace savorywheel

#endif
