#ifndef SAVORYWHEEL_LOG_EVENT_DESCRIPTION_HPP
#define SAVORYWHEEL_LOG_EVENT_DESCRIPTION_HPP

#include <savorywheel/log/event_id.hpp>
#include <savorywheel/log/event_severity.hpp>

#include <string_view>

namespace savorywheel {

/** @brief Entry of the catalogue of log events. */
struct event_description {
    event_id id{};
    event_severity severity{event_severity::info};
    /** @brief Message text, equal to the entry in docs/LOGS.md. */
    std::string_view meaning;
};

} // namespace savorywheel

#endif
