#ifndef SAVORYWHEEL_LOG_EVENT_LOG_HPP
#define SAVORYWHEEL_LOG_EVENT_LOG_HPP

#include <savorywheel/log/event_id.hpp>
#include <savorywheel/log/log_field.hpp>

#include <span>
#include <string_view>

namespace savorywheel {

/** @brief Sink for log events; thread-safe. */
class event_log {
public:
    event_log() = default;
    event_log(const event_log&) = delete;
    event_log& operator=(const event_log&) = delete;
    event_log(event_log&&) = delete;
    event_log& operator=(event_log&&) = delete;
    virtual ~event_log() = default;

    /**
     * @brief Writes an event.
     * @param id Event; the catalogue defines its severity.
     * @param detail Details of this occurrence.
     */
    virtual void write(event_id id, std::string_view detail) = 0;

    /**
     * @brief Writes an event with structured fields, such as the inputs of a decision.
     * @param id Event; the catalogue defines its severity.
     * @param detail Details of this occurrence.
     * @param fields Inputs and result of the decision.
     */
    virtual void write_decision(event_id id, std::string_view detail,
                                std::span<const log_field> fields)
    {
        static_cast<void>(fields);
        write(id, detail);
    }
};

} // namespace savorywheel

#endif
