#ifndef SAVORYWHEEL_TRAFFIC_BACKEND_DEPARTURE_HPP
#define SAVORYWHEEL_TRAFFIC_BACKEND_DEPARTURE_HPP

#include <cstdint>
#include <string>

namespace savorywheel {

/** @brief Acknowledged departure of a backend server. */
struct backend_departure {
    /** @brief Identity that the backend server announced. */
    std::string identity;
    /** @brief Its start time in Unix milliseconds. */
    std::uint64_t started_at{};
    /** @brief False if the start time is unknown and started_at is its upper bound. */
    bool is_exact{true};

    [[nodiscard]] friend bool operator==(const backend_departure&,
                                         const backend_departure&) = default;
};

} // namespace savorywheel

#endif
