#ifndef SAVORYWHEEL_ROUTING_VERSION_EJECTIONS_HPP
#define SAVORYWHEEL_ROUTING_VERSION_EJECTIONS_HPP

#include <savorywheel/core/config_version.hpp>
#include <savorywheel/core/names.hpp>

#include <map>
#include <mutex>
#include <utility>

namespace savorywheel {

/**
 * @brief Rollout moves whose new version is ejected on this node; thread-safe.
 *
 * An ejection applies to a single move, identified by the configuration version that requested it.
 */
class version_ejections {
public:
    /** @brief Configuration version of the ejected move by service. */
    using move_map = std::map<service_name, config_version>;

    /** @brief Replaces all ejections. */
    void set(move_map moves)
    {
        const std::scoped_lock lock{mutex_};
        moves_ = std::move(moves);
    }

    /** @return True if the new version of the move requested at that version is ejected. */
    [[nodiscard]] bool ejected(const service_name& service, config_version asked_at) const
    {
        const std::scoped_lock lock{mutex_};
        const auto found = moves_.find(service);
        return found != moves_.end() && found->second == asked_at;
    }

private:
    mutable std::mutex mutex_;
    move_map moves_;
};

} // namespace savorywheel

#endif
