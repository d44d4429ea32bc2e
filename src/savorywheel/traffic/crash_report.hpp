#ifndef SAVORYWHEEL_TRAFFIC_CRASH_REPORT_HPP
#define SAVORYWHEEL_TRAFFIC_CRASH_REPORT_HPP

#include <savorywheel/core/names.hpp>
#include <savorywheel/traffic/request_digest.hpp>

#include <cstdint>

namespace savorywheel {

/** @brief Tells other gates that a request was running when a backend server crashed. */
struct crash_report {
    /** @brief Service of the backend server. */
    service_name service;
    /** @brief Node beside the backend server. */
    node_id node;
    /** @brief Number of the crash at that node, since the node's start. */
    std::uint64_t crash{};
    /** @brief The request. */
    request_digest digest{};

    /** @brief Compares all members. */
    [[nodiscard]] friend bool operator==(const crash_report&, const crash_report&) = default;
};

} // namespace savorywheel

#endif
