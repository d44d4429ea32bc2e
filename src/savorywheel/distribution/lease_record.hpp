#ifndef SAVORYWHEEL_DISTRIBUTION_LEASE_RECORD_HPP
#define SAVORYWHEEL_DISTRIBUTION_LEASE_RECORD_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/core/names.hpp>
#include <savorywheel/core/network_endpoint.hpp>

#include <cstdint>
#include <string>

namespace savorywheel {

/** @brief Lease object in the platform's service. */
struct lease_record {
    /** @brief Node that holds it. */
    node_id holder;
    /** @brief Where the holder is reached. */
    network_endpoint peer;
    /** @brief Grows with each renewal and each change of holder. */
    std::uint64_t term{};
    /** @brief How long it lasts after a renewal was seen. */
    std::chrono::milliseconds lifetime{};
    /** @brief What the holder leaves to the next one; empty if nothing. */
    std::string note;
};

} // namespace savorywheel

#endif
