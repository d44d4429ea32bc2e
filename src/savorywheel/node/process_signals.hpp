#ifndef SAVORYWHEEL_NODE_PROCESS_SIGNALS_HPP
#define SAVORYWHEEL_NODE_PROCESS_SIGNALS_HPP

#include <functional>

namespace savorywheel {

/** @brief Receives the signals by which a process is asked to stop or to read its settings again.
 */
class process_signals {
public:
    /** @brief Blocks the signals, so that all threads that start later leave them alone. */
    process_signals();

    /**
     * @brief Waits until the process is asked to stop, by SIGTERM or SIGINT.
     * @param reload Called on the waiting thread for each SIGHUP.
     */
    void wait_for_stop(const std::function<void()>& reload) const;
};

} // namespace savorywheel

#endif
