#ifndef SAVORYWHEEL_STANDIN_SUPPORT_CHILD_PROCESS_HPP
#define SAVORYWHEEL_STANDIN_SUPPORT_CHILD_PROCESS_HPP

#include <sys/types.h>

#include <span>
#include <string>

namespace savorywheel::standin {

/** @brief A process that this one started; it is killed and awaited at the end. */
class child_process {
public:
    /**
     * @brief Starts a program.
     * @param path Path of the program.
     * @param arguments Its arguments.
     * @param log File that receives its output; appended to.
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

    /** @return The exit code after waiting for the end; 128 plus the signal if one ended it. */
    int wait();

    /** @return True if the process has not ended. */
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
