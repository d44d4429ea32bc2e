#ifndef SAVORYWHEEL_EXPLAIN_LOG_LINE_HPP
#define SAVORYWHEEL_EXPLAIN_LOG_LINE_HPP

#include <savorywheel/log/event_id.hpp>

#include <map>
#include <string>
#include <string_view>

namespace savorywheel {

/** @brief One line of a node's log. */
struct log_line {
    /** @brief Calendar time as the node wrote it; lines of all nodes sort by it. */
    std::string time;
    /** @brief What happened. */
    event_id event{};
    /** @brief The event in words, with its number. */
    std::string message;
    /** @brief What the event came with, by name. */
    std::map<std::string, std::string, std::less<>> fields;

    /** @return The field; empty if the line has none of that name. */
    [[nodiscard]] std::string_view field(std::string_view name) const
    {
        const auto found = fields.find(name);
        return found == fields.end() ? std::string_view{} : found->second;
    }
};

} // namespace savorywheel

#endif
