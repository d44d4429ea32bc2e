#ifndef SAVORYWHEEL_MEMBERSHIP_MEMBERSHIP_SETTINGS_HPP
#define SAVORYWHEEL_MEMBERSHIP_MEMBERSHIP_SETTINGS_HPP

#include <chrono>
#include <cstddef>

namespace savorywheel {

/** @brief Timing and size limits of the failure detector and of gossip. */
struct membership_settings {
    /** @brief Time between two probes. */
    std::chrono::milliseconds probe_period{500};
    /** @brief Timeout for an ack, after which indirect probes are requested. */
    std::chrono::milliseconds ack_timeout{200};
    /** @brief Time within which a suspect must refute the suspicion. */
    std::chrono::milliseconds suspicion_period{2000};
    /** @brief Time between two synchronizations with a random member. */
    std::chrono::milliseconds sync_period{15'000};
    /** @brief Time between two attempts to join, until a first synchronization has succeeded. */
    std::chrono::milliseconds join_period{500};
    /** @brief Number of nodes that are asked for an indirect probe. */
    std::size_t indirect_probes{3};
    /** @brief Maximum size of the gossiped updates in one datagram, in encoded bytes. */
    std::size_t max_gossip_bytes{1000};
    /** @brief Transmissions of an update per doubling of the member count. */
    std::size_t retransmit_factor{1};
    /** @brief Minimum number of transmissions of an update. */
    std::size_t min_retransmits{6};
    /** @brief Time after which a dead member is erased from the table. */
    std::chrono::minutes dead_retention{10};
};

} // namespace savorywheel

#endif
