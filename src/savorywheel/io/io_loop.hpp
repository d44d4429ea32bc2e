#ifndef SAVORYWHEEL_IO_IO_LOOP_HPP
#define SAVORYWHEEL_IO_IO_LOOP_HPP

#include <savorywheel/core/scheduler.hpp>
#include <savorywheel/core/task_guard.hpp>

#include <memory>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace savorywheel {

/**
 * @brief Event loop of a traffic thread, on Boost.Asio: sockets, tasks and timers.
 *
 * The thread waits in the kernel. An exception that leaves a task or a handler is reported and ends
 * only that task.
 */
class io_loop final : public scheduler {
public:
    /**
     * @param source Clock of the timers; must outlive the loop.
     * @param on_error Called on the loop's thread; may be empty.
     */
    explicit io_loop(const clock& source, error_listener on_error = {});
    io_loop(const io_loop&) = delete;
    io_loop& operator=(const io_loop&) = delete;
    io_loop(io_loop&&) = delete;
    io_loop& operator=(io_loop&&) = delete;
    ~io_loop() override;

    /**
     * @brief Starts the thread.
     * @param thread_name Name of the thread, at most 15 characters.
     */
    void start(const char* thread_name);

    /** @brief Ends the thread after the current handler; pending handlers are not run. */
    void stop();

    void post(task item) override;
    [[nodiscard]] subscription after(duration delay, task item) override;

    /** @return The context of sockets that this loop serves; for the source files of transports. */
    [[nodiscard]] boost::asio::io_context& context() noexcept;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace savorywheel

#endif
