#ifndef SAVORYWHEEL_ROUTING_EJECTING_VERSION_CHOOSER_HPP
#define SAVORYWHEEL_ROUTING_EJECTING_VERSION_CHOOSER_HPP

#include <savorywheel/core/random_source.hpp>
#include <savorywheel/routing/version_chooser.hpp>
#include <savorywheel/routing/version_ejections.hpp>

namespace savorywheel {

/**
 * @brief Chooses by the shares before the move while the move's new version is ejected.
 *
 * An override stands above an ejection. Without a backend server of an old version the ejection
 * has no effect.
 */
class ejecting_version_chooser final : public version_chooser {
public:
    /**
     * @param inner Chooses when nothing is ejected; must outlive the chooser.
     * @param ejections Ejected moves; must outlive the chooser.
     * @param random Random numbers; must outlive the chooser.
     */
    ejecting_version_chooser(version_chooser& inner, const version_ejections& ejections,
                             random_source& random) noexcept
        : inner_{inner}, ejections_{ejections}, random_{random}
    {
    }

    [[nodiscard]] std::optional<version_name> choose(const service_routes& routes) override;

private:
    version_chooser& inner_;
    const version_ejections& ejections_;
    random_source& random_;
};

} // namespace savorywheel

#endif
