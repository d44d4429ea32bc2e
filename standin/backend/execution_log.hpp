#ifndef SAVORYWHEEL_STANDIN_BACKEND_EXECUTION_LOG_HPP
#define SAVORYWHEEL_STANDIN_BACKEND_EXECUTION_LOG_HPP

#include <string>
#include <string_view>

namespace savorywheel::standin {

/** @brief Appends the id of each request run to a file, so that the ids survive a crash. */
class execution_log {
public:
    /** @param path File to append to; empty to record nothing. */
    explicit execution_log(const std::string& path);
    execution_log(const execution_log&) = delete;
    execution_log& operator=(const execution_log&) = delete;
    execution_log(execution_log&&) = delete;
    execution_log& operator=(execution_log&&) = delete;
    ~execution_log();

    /** @brief Records that a request is run. Thread-safe. */
    void record(std::string_view request_id) const;

private:
    int file_{-1};
};

} // namespace savorywheel::standin

#endif
