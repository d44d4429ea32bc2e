#ifndef SAVORYWHEEL_LOG_LOG_FIELD_HPP
#define SAVORYWHEEL_LOG_LOG_FIELD_HPP

#include <string>
#include <string_view>

namespace savorywheel {

/** @brief One input or result of a decision, in its log line. */
struct log_field {
    /** @brief Name, such as "request". */
    std::string_view name;
    /** @brief Value. */
    std::string value;
};

} // namespace savorywheel

#endif
