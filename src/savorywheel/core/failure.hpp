#ifndef SAVORYWHEEL_CORE_FAILURE_HPP
#define SAVORYWHEEL_CORE_FAILURE_HPP

#include <savorywheel/core/failure_code.hpp>

#include <string>

namespace savorywheel {

/** @brief Reason why an operation gave no value. */
struct failure {
    /** @brief Kind, for decisions. */
    failure_code code{failure_code::none};
    /** @brief Sentence for people. */
    std::string message;
};

} // namespace savorywheel

#endif
