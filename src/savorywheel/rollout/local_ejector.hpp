#ifndef SAVORYWHEEL_ROLLOUT_LOCAL_EJECTOR_HPP
#define SAVORYWHEEL_ROLLOUT_LOCAL_EJECTOR_HPP

#include <savorywheel/log/event_log.hpp>
#include <savorywheel/rollout/fault_monitor.hpp>
#include <savorywheel/routing/version_ejections.hpp>

#include <map>

namespace savorywheel {

/**
 * @brief Ejects faulty versions at this node, based on the node's own calls only.
 *
 * Under an override the version is not ejected; a warning is logged instead.
 * @warning Only for use on the control thread.
 */
class local_ejector {
public:
    /** @param log Log; must outlive the ejector. */
    explicit local_ejector(event_log& log) noexcept : log_{log} {}

    /**
     * @brief Evaluates the evidence of one period.
     * @param view This node's evidence of a service with a move.
     * @param monitor_count Nodes that evaluate the same move independently.
     */
    void observe(const rollout_view& view, std::size_t monitor_count);

    /** @brief Adds the ejected moves that are still part of the state. */
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
