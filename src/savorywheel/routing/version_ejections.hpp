#ifndef SAVORYWHEEL_ROUTING_VERSION_EJECTIONS_HPP
#define SAVORYWHEEL_ROUTING_VERSION_EJECTIONS_HPP

#include <savorywheel/core/config_version.hpp>
#include <savorywheel/core/names.hpp>

#include <map>
#include <mutex>
#include <utility>

namespace savorywheel {

/**
 * @brief Moves whose new version gets no traffic from this node; any thread may use it.
 *
 * An ejection belongs to one move, which the version that asked for it names.
 */
class version_ejections {
public:
    /** @brief Ejected moves by service. */
    using move_map = std::map<service_name, config_version>;

    /** @brief Replaces all ejections. */
    void set(move_map moves)
    {
        const std::scoped_lock lock{mutex_};
        moves_ = std::move(moves);
    }

    /** @return True if the new version of the move is ejected. */
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
