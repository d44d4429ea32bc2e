#ifndef SAVORYWHEEL_TEST_SUPPORT_LOAD_FAULT_RESULT_HPP
#define SAVORYWHEEL_TEST_SUPPORT_LOAD_FAULT_RESULT_HPP

#include <cstdint>
#include <optional>

namespace savorywheel::test {

/** @brief Result of a load fault simulation, from the order of the move to its deadline. */
struct load_fault_result {
    /** @brief Calls that arrived at the service. */
    std::uint64_t calls{};
    /** @brief Those that arrived at the new version. */
    std::uint64_t new_calls{};
    /** @brief Backend servers of the new version that got a call. */
    std::size_t new_servers_called{};
    /** @brief When all traffic was routed to the new version, in seconds after the order. */
    std::optional<double> done_at;
    /** @brief When the withdrawal took effect, in seconds after the order. */
    std::optional<double> withdrawn_at;
};

} // namespace savorywheel::test

#endif
