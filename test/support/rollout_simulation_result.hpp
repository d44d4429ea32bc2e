#ifndef SAVORYWHEEL_TEST_SUPPORT_ROLLOUT_SIMULATION_RESULT_HPP
#define SAVORYWHEEL_TEST_SUPPORT_ROLLOUT_SIMULATION_RESULT_HPP

#include <cstdint>
#include <optional>

namespace savorywheel::test {

/** @brief Result of one rollout simulation; times are seconds after its start. */
struct rollout_simulation_result {
    /** @brief When all traffic was routed to the target version. */
    std::optional<int> done_at;
    /** @brief When the withdrawal took effect. */
    std::optional<int> withdrawn_at;
    /** @brief When the new version first received calls while its fault was active. */
    std::optional<int> first_exposure_at;
    /** @brief Calls to the service. */
    std::uint64_t calls{};
    /** @brief Calls that failed because of the new version's fault. */
    std::uint64_t failed_by_fault{};
};

} // namespace savorywheel::test

#endif
