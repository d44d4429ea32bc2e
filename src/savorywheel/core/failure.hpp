#ifndef SAVORYWHEEL_CORE_FAILURE_HPP
#define SAVORYWHEEL_CORE_FAILURE_HPP

#include <savorywheel/core/failure_code.hpp>

#include <string>

namespace savorywheel {

/** @brief Error of an operation that returned no value. */
struct failure {
    /** @brief Error class, for error handling. */
    failure_code code{failure_code::none};
    /** @brief Human-readable description. */
    std::string message;
};

} // namespace savorywheel

#endif
