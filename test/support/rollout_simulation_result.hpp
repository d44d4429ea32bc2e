#ifndef SAVORYWHEEL_TEST_SUPPORT_ROLLOUT_SIMULATION_RESULT_HPP
#define SAVORYWHEEL_TEST_SUPPORT_ROLLOUT_SIMULATION_RESULT_HPP

#include <cstdint>
#include <optional>

namespace savorywheel::test {

/** @brief What became of one rollout trial; times are seconds after the start. */
struct rollout_simulation_result {
    /** @brief When the target was put in force. */
    std::optional<int> done_at;
    /** @brief When the move was withdrawn. */
    std::optional<int> withdrawn_at;
    /** @brief When the fault first could show: the new version had calls and the fault. */
    std::optional<int> first_exposure_at;
    /** @brief Calls of the service. */
    std::uint64_t calls{};
    /** @brief Calls that the new version failed by its fault. */
    std::uint64_t failed_by_fault{};
};

} // namespace savorywheel::test

#endif
