#ifndef SAVORYWHEEL_NODE_PROCESS_SIGNALS_HPP
#define SAVORYWHEEL_NODE_PROCESS_SIGNALS_HPP

#include <functional>

namespace savorywheel {

/** @brief Handles the signals that stop a process or make it reload its settings. */
class process_signals {
public:
    /** @brief Blocks the signals in this thread and in all threads started later. */
    process_signals();

    /**
     * @brief Blocks until SIGTERM or SIGINT is received.
     * @param reload Called on the waiting thread for each SIGHUP.
     */
    void wait_for_stop(const std::function<void()>& reload) const;
};

} // namespace savorywheel

#endif
