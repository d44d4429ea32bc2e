#ifndef SAVORYWHEEL_TEST_SUPPORT_CLIENT_PLAN_HPP
#define SAVORYWHEEL_TEST_SUPPORT_CLIENT_PLAN_HPP

#include <cstddef>
#include <string>

namespace savorywheel::test {

/** @brief What each client of a client_load sends: the prefix, then repetitions of the tail. */
struct client_plan {
    std::string prefix;
    std::string tail{};
    std::size_t repetitions{};
    /** @brief Maximum size of one write, in bytes. */
    std::size_t write_bytes{64UL * 1024UL};
    /** @brief False for a client that never reads. */
    bool reads{true};
};

} // namespace savorywheel::test

#endif
