#ifndef SAVORYWHEEL_EXPLAIN_LOG_LINE_HPP
#define SAVORYWHEEL_EXPLAIN_LOG_LINE_HPP

#include <savorywheel/log/event_id.hpp>

#include <map>
#include <string>
#include <string_view>

namespace savorywheel {

/** @brief Parsed line of a node's log. */
struct log_line {
    /** @brief Timestamp as the node wrote it; lines of all nodes are ordered by it. */
    std::string time;
    event_id event{};
    /** @brief Event number and meaning, such as "SW4001 A call was refused". */
    std::string message;
    /** @brief Structured fields by name. */
    std::map<std::string, std::string, std::less<>> fields;

    /** @return The value of a field; empty if the line does not have it. */
    [[nodiscard]] std::string_view field(std::string_view name) const
    {
        const auto found = fields.find(name);
        return found == fields.end() ? std::string_view{} : found->second;
    }
};

} // namespace savorywheel

#endif
