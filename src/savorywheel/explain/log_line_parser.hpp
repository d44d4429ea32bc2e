#ifndef SAVORYWHEEL_EXPLAIN_LOG_LINE_PARSER_HPP
#define SAVORYWHEEL_EXPLAIN_LOG_LINE_PARSER_HPP

#include <savorywheel/core/outcome.hpp>
#include <savorywheel/explain/log_line.hpp>

#include <string_view>

namespace savorywheel {

/**
 * @brief Parses a line of a node's log.
 * @param line The line; a prefix before the JSON object, as log collectors add it, is skipped.
 * @return The parsed line; malformed if it has no JSON object or no event number.
 */
[[nodiscard]] outcome<log_line> parse_log_line(std::string_view line);

} // namespace savorywheel

#endif
