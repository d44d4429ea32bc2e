#ifndef SAVORYWHEEL_MEMBERSHIP_GOSSIP_QUEUE_HPP
#define SAVORYWHEEL_MEMBERSHIP_GOSSIP_QUEUE_HPP

#include <savorywheel/membership/member_update.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace savorywheel {

/** @brief News about members that wait to be sent; the least sent and newest ones come first. */
class gossip_queue {
public:
    /** @brief Adds news; it replaces older news about the same member. */
    void add(const member_update& update);

    /**
     * @brief Takes news for one datagram.
     * @param budget_bytes Encoded bytes that the datagram has left.
     * @param max_transmissions Times that one piece of news is sent.
     */
    [[nodiscard]] std::vector<member_update> next_batch(std::size_t budget_bytes,
                                                        std::size_t max_transmissions);

    /** @return Number of members with news. */
    [[nodiscard]] std::size_t size() const noexcept { return by_member_.size(); }

private:
    /** Times sent, then the newest first. */
    using key = std::pair<std::size_t, std::uint64_t>;

    std::uint64_t next_order_{~std::uint64_t{}};
    std::map<key, member_update> by_key_;
    std::map<node_id, key> by_member_;
};

/** @return Upper bound of an update's encoded size, in bytes. */
[[nodiscard]] std::size_t encoded_size_bound(const member_update& update) noexcept;

} // namespace savorywheel

#endif
