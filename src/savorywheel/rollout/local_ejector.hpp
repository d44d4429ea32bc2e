#ifndef SAVORYWHEEL_ROLLOUT_LOCAL_EJECTOR_HPP
#define SAVORYWHEEL_ROLLOUT_LOCAL_EJECTOR_HPP

#include <savorywheel/log/event_log.hpp>
#include <savorywheel/rollout/fault_monitor.hpp>
#include <savorywheel/routing/version_ejections.hpp>

#include <map>

namespace savorywheel {

/**
 * @brief Judges new versions by this node's own calls, without anyone's help.
 *
 * A faulty version is ejected at this node. Under an override it is not; a warning is logged.
 * @warning All members are for the control thread.
 */
class local_ejector {
public:
    /** @param log Log; must outlive the ejector. */
    explicit local_ejector(event_log& log) noexcept : log_{log} {}

    /**
     * @brief Takes the evidence of one period.
     * @param view What this node saw; the service has a move.
     * @param monitor_count Nodes that judge the same move, each on its own.
     */
    void observe(const rollout_view& view, std::size_t monitor_count);

    /** @brief Adds the ejected moves that the state still has. */
    void add_ejected(const mesh_state& state, version_ejections::move_map& moves) const;

private:
    struct monitored_move {
        config_version asked_at;
        calendar_time started_at{};
        fault_monitor monitor;
        bool ejected{};
        bool warned{};
    };

    event_log& log_;
    std::map<service_name, monitored_move> monitored_moves_;
};

} // namespace savorywheel

#endif
