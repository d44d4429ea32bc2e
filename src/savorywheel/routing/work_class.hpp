#ifndef SAVORYWHEEL_ROUTING_WORK_CLASS_HPP
#define SAVORYWHEEL_ROUTING_WORK_CLASS_HPP

#include <cstddef>
#include <string_view>

namespace savorywheel {

/** @brief Properties of a call that tell how much work it causes; refers to strings of the call. */
struct work_class {
    std::string_view service;
    /** @brief Path prefix of the route. */
    std::string_view route;
    /** @brief Size of the request body, in bytes. */
    std::size_t body_bytes{};
};

} // namespace savorywheel

#endif
