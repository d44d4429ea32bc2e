#ifndef SAVORYWHEEL_STORE_STORE_FAILURE_HPP
#define SAVORYWHEEL_STORE_STORE_FAILURE_HPP

#include <savorywheel/core/failure.hpp>

namespace savorywheel {

/**
 * @brief Tells what an HTTP status of the platform's service means for a caller.
 * @param status Status other than 200 and 201.
 * @return not_found for an object or a part of the history that is gone; conflict if a condition
 * did not hold; unavailable if the service refused the call; unknown_outcome otherwise, since the
 * call may have been carried out.
 */
[[nodiscard]] failure store_failure(int status);

} // namespace savorywheel

#endif
