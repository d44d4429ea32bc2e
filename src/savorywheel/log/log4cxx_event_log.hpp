#ifndef SAVORYWHEEL_LOG_LOG4CXX_EVENT_LOG_HPP
#define SAVORYWHEEL_LOG_LOG4CXX_EVENT_LOG_HPP

#include <savorywheel/log/event_log.hpp>
#include <savorywheel/log/event_severity.hpp>

#include <string>

namespace savorywheel {

/**
 * @brief Event log on log4cxx: one JSON object a line, on standard output.
 *
 * A bounded queue and a thread of log4cxx stand between the writers and the output. When the queue
 * is full, lines are dropped, and a line says how many.
 */
class log4cxx_event_log final : public event_log {
public:
    /**
     * @param process Name of the process in each line.
     * @param min_severity Least severity of the events that are written.
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
