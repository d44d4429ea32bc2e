#ifndef SAVORYWHEEL_DISTRIBUTION_APPLY_RESULT_HPP
#define SAVORYWHEEL_DISTRIBUTION_APPLY_RESULT_HPP

#include <savorywheel/core/failure.hpp>

#include <optional>

namespace savorywheel {

/** @brief Result of applying a batch of commits. */
struct apply_result {
    /** @brief True if at least one commit was applied. */
    bool advanced{};
    /** @brief Reason why the rest was not applied; conflict if there is a gap before it. */
    std::optional<failure> fault;
};

} // namespace savorywheel

#endif
