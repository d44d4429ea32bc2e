#ifndef SAVORYWHEEL_TEST_SUPPORT_CALL_SOURCE_HPP
#define SAVORYWHEEL_TEST_SUPPORT_CALL_SOURCE_HPP

#include <chrono>
#include <cstdint>
#include <string>

namespace savorywheel::test {

/** @brief Calls of one route and tenant, which arrive at random at a gate. */
struct call_source {
    /** @brief Name in the printed results. */
    std::string name;
    std::string route;
    double per_second{};
    std::chrono::milliseconds mean{};
    std::chrono::milliseconds target{};
    std::chrono::milliseconds deadline{};
    std::string tenant{};
    std::uint32_t weight{1};
    std::uint32_t tenant_priority{};
    std::uint32_t priority{};
};

} // namespace savorywheel::test

#endif
