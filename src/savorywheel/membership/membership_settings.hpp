#ifndef SAVORYWHEEL_MEMBERSHIP_MEMBERSHIP_SETTINGS_HPP
#define SAVORYWHEEL_MEMBERSHIP_MEMBERSHIP_SETTINGS_HPP

#include <chrono>
#include <cstddef>

namespace savorywheel {

/** @brief Timing and size of the failure detector. */
struct membership_settings {
    /** @brief Time between two probes. */
    std::chrono::milliseconds probe_period{500};
    /** @brief Wait for an ack before other nodes are asked to probe. */
    std::chrono::milliseconds ack_timeout{200};
    /** @brief Time in which a suspect must object. */
    std::chrono::milliseconds suspicion_period{2000};
    /** @brief Time between two exchanges of digests with a random member. */
    std::chrono::milliseconds sync_period{15'000};
    /** @brief Time between two attempts to join, before a first exchange has succeeded. */
    std::chrono::milliseconds join_period{500};
    /** @brief Nodes that are asked to probe in turn. */
    std::size_t indirect_probes{3};
    /** @brief Encoded bytes of news in one datagram. */
    std::size_t gossip_bytes{1000};
    /** @brief Times an update is sent per doubling of the member count. */
    std::size_t retransmit_factor{1};
    /** @brief Times an update is sent at least. */
    std::size_t min_retransmits{6};
    /** @brief Time after which a dead member is forgotten. */
    std::chrono::minutes dead_retention{10};
};

} // namespace savorywheel

#endif
