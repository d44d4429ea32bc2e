#ifndef SAVORYWHEEL_STORE_STORE_FAILURE_HPP
#define SAVORYWHEEL_STORE_STORE_FAILURE_HPP

#include <savorywheel/core/failure.hpp>

namespace savorywheel {

/**
 * @brief Maps an HTTP status of the object API to a failure.
 * @param status Status other than 200 and 201.
 * @return Failure with code `not_found` if the object or the requested history does not exist,
 * `conflict` if a precondition failed, `unavailable` if the request was rejected, or
 * `unknown_outcome` otherwise, since the request may have been executed.
 */
[[nodiscard]] failure store_failure(int status);

/** @return Failure of a call with a revision of an era that has ended. */
[[nodiscard]] failure lost_revision(failure_code code);

} // namespace savorywheel

#endif
