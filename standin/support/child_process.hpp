#ifndef SAVORYWHEEL_STANDIN_SUPPORT_CHILD_PROCESS_HPP
#define SAVORYWHEEL_STANDIN_SUPPORT_CHILD_PROCESS_HPP

#include <sys/types.h>

#include <span>
#include <string>

namespace savorywheel::standin {

/** @brief Child process; the destructor kills it and waits for its exit. */
class child_process {
public:
    /**
     * @brief Starts a program.
     * @param path Path of the program.
     * @param arguments Command-line arguments.
     * @param log File to which standard output and standard error are appended.
     */
    child_process(const std::string& path, std::span<const std::string> arguments,
                  const std::string& log);
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;
    child_process(child_process&&) = delete;
    child_process& operator=(child_process&&) = delete;
    ~child_process();

    /** @brief Sends a signal, such as SIGKILL, SIGSTOP, SIGCONT or SIGTERM. */
    void signal(int number) const;

    /**
     * @brief Waits for the process to exit.
     * @return The exit code, or 128 plus the number of the signal that terminated it.
     */
    int wait();

    /** @return True if the process has not exited. */
    [[nodiscard]] bool running();

    /** @return The process id. */
    [[nodiscard]] pid_t id() const noexcept { return id_; }

private:
    pid_t id_{};
    bool ended_{};
    int code_{};
};

} // namespace savorywheel::standin

#endif
