#ifndef SAVORYWHEEL_NODE_STOP_SIGNAL_HPP
#define SAVORYWHEEL_NODE_STOP_SIGNAL_HPP

namespace savorywheel {

/** @brief Waits for the signals that ask a process to stop. */
class stop_signal {
public:
    /** @brief Blocks SIGTERM and SIGINT for all threads that start later, and ignores SIGPIPE. */
    stop_signal();

    /** @brief Waits until SIGTERM or SIGINT arrives. */
    void wait() const;
};

} // namespace savorywheel

#endif
