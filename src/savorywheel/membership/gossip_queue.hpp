#ifndef SAVORYWHEEL_MEMBERSHIP_GOSSIP_QUEUE_HPP
#define SAVORYWHEEL_MEMBERSHIP_GOSSIP_QUEUE_HPP

#include <savorywheel/membership/member_update.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace savorywheel {

/** @brief Member updates queued for gossip; those sent least often and then the newest go first. */
class gossip_queue {
public:
    /** @brief Adds an update; it replaces a queued one for the same member. */
    void add(const member_update& update);

    /**
     * @brief Selects updates for one datagram and counts them as sent.
     * @param budget_bytes Available space in the datagram, in encoded bytes.
     * @param max_transmissions Number of transmissions after which an update is removed.
     */
    [[nodiscard]] std::vector<member_update> next_batch(std::size_t budget_bytes,
                                                        std::size_t max_transmissions);

    /** @return Number of members with a queued update. */
    [[nodiscard]] std::size_t size() const noexcept { return by_member_.size(); }

private:
    /** Number of transmissions, then a number that decreases with each added update. */
    using key = std::pair<std::size_t, std::uint64_t>;

    std::uint64_t next_order_{~std::uint64_t{}};
    std::map<key, member_update> by_key_;
    std::map<node_id, key> by_member_;
};

/** @return Upper bound of an update's encoded size, in bytes. */
[[nodiscard]] std::size_t encoded_size_bound(const member_update& update) noexcept;

} // namespace savorywheel

#endif
