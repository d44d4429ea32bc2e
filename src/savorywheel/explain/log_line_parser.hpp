#ifndef SAVORYWHEEL_EXPLAIN_LOG_LINE_PARSER_HPP
#define SAVORYWHEEL_EXPLAIN_LOG_LINE_PARSER_HPP

#include <savorywheel/core/outcome.hpp>
#include <savorywheel/explain/log_line.hpp>

#include <string_view>

namespace savorywheel {

/**
 * @brief Reads one line of a log.
 * @param line The line; what a collector has put before the object is passed over.
 * @return The line; malformed if it holds no object, or one that no node writes.
 */
[[nodiscard]] outcome<log_line> parse_log_line(std::string_view line);

} // namespace savorywheel

#endif
