#ifndef SAVORYWHEEL_LOG_LOG_FIELD_HPP
#define SAVORYWHEEL_LOG_LOG_FIELD_HPP

#include <string>
#include <string_view>

namespace savorywheel {

/** @brief Named field of a log line, such as an input or the result of a decision. */
struct log_field {
    /** @brief Name, such as "request". */
    std::string_view name;
    std::string value;
};

} // namespace savorywheel

#endif
