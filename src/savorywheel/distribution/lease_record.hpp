#ifndef SAVORYWHEEL_DISTRIBUTION_LEASE_RECORD_HPP
#define SAVORYWHEEL_DISTRIBUTION_LEASE_RECORD_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/core/names.hpp>
#include <savorywheel/core/network_endpoint.hpp>

#include <cstdint>
#include <string>

namespace savorywheel {

/** @brief Lease object in the object store. */
struct lease_record {
    node_id holder;
    /** @brief Peer endpoint of the holder. */
    network_endpoint peer;
    /** @brief Increases with each renewal and each change of holder. */
    std::uint64_t term{};
    /** @brief Time until expiry, counted from when an observer first reads a term. */
    std::chrono::milliseconds lifetime{};
    /** @brief Handover data for the next holder; may be empty. */
    std::string note;
};

} // namespace savorywheel

#endif
