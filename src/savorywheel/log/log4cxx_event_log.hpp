#ifndef SAVORYWHEEL_LOG_LOG4CXX_EVENT_LOG_HPP
#define SAVORYWHEEL_LOG_LOG4CXX_EVENT_LOG_HPP

#include <savorywheel/log/event_log.hpp>
#include <savorywheel/log/event_severity.hpp>

#include <string>

namespace savorywheel {

/**
 * @brief Writes events through log4cxx, as one JSON object per line on standard output.
 *
 * Lines pass through a bounded queue to a log4cxx thread, so that a slow reader of the output does
 * not block writers. When the queue is full, lines are dropped and the number is logged.
 */
class log4cxx_event_log final : public event_log {
public:
    /**
     * @param process Process name that is added to each line.
     * @param min_severity Events of lower severity are discarded.
     */
    explicit log4cxx_event_log(std::string process,
                               event_severity min_severity = event_severity::info);

    void write(event_id id, std::string_view detail) override;
    void write_decision(event_id id, std::string_view detail,
                        std::span<const log_field> fields) override;

private:
    std::string process_;
    event_severity min_severity_;
};

} // namespace savorywheel

#endif
