#ifndef SAVORYWHEEL_ROUTING_EJECTION_AWARE_VERSION_SELECTOR_HPP
#define SAVORYWHEEL_ROUTING_EJECTION_AWARE_VERSION_SELECTOR_HPP

#include <savorywheel/core/random_source.hpp>
#include <savorywheel/routing/version_ejections.hpp>
#include <savorywheel/routing/version_selector.hpp>

namespace savorywheel {

/**
 * @brief Chooses by the shares before the move while the move's new version is ejected.
 *
 * An override stands above an ejection. Without a backend server of an old version the ejection
 * has no effect.
 */
class ejection_aware_version_selector final : public version_selector {
public:
    /**
     * @param inner Chooses when nothing is ejected; must outlive the chooser.
     * @param ejections Ejected moves; must outlive the chooser.
     * @param random Random numbers; must outlive the chooser.
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
