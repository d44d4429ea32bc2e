#ifndef SAVORYWHEEL_TRAFFIC_CRASH_REPORT_HPP
#define SAVORYWHEEL_TRAFFIC_CRASH_REPORT_HPP

#include <savorywheel/core/names.hpp>
#include <savorywheel/traffic/request_digest.hpp>

#include <chrono>
#include <cstdint>

namespace savorywheel {

/** @brief Message between gates: a request was running when a backend server crashed. */
struct crash_report {
    /** @brief Service of the crashed backend server. */
    service_name service;
    /** @brief Node co-located with it. */
    node_id node;
    /** @brief Unix milliseconds of the crash by the clock of that node; identifies the crash. */
    std::uint64_t crash{};
    /** @brief Digest of the request. */
    request_digest digest{};
    /** @brief Time since the crash. */
    std::chrono::milliseconds age{};
    /** @brief True if the backend server had answered the request before. */
    bool answered_before{};

    [[nodiscard]] friend bool operator==(const crash_report&, const crash_report&) = default;
};

} // namespace savorywheel

#endif
