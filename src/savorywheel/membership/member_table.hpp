#ifndef SAVORYWHEEL_MEMBERSHIP_MEMBER_TABLE_HPP
#define SAVORYWHEEL_MEMBERSHIP_MEMBER_TABLE_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/membership/member_group.hpp>
#include <savorywheel/membership/member_update.hpp>

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace savorywheel {

/** @brief Number of buckets of a member table, each with its own digest. */
inline constexpr std::size_t member_bucket_count = 256;

/** @brief Member records of the mesh, merged by incarnation and status. */
class member_table {
public:
    /** @brief A member with its local bookkeeping. */
    struct entry {
        member_update update;
        /** @brief Local time of the last change. */
        monotonic_time changed_at;
        /** @brief Contribution to the digests of the table; zero for a dead member. */
        std::uint64_t digest{};
        std::size_t bucket{};
        /** @brief Index in live(); only valid for a live member. */
        std::size_t live_index{};
    };

    using entry_map = std::map<node_id, entry>;

    using bucket_digests = std::array<std::uint64_t, member_bucket_count>;

    member_table() = default;
    member_table(const member_table&) = delete;
    member_table& operator=(const member_table&) = delete;
    member_table(member_table&&) = delete;
    member_table& operator=(member_table&&) = delete;
    ~member_table() = default;

    /**
     * @brief Merges an update.
     * @param changed_at Local time of the change.
     * @return True if the update superseded the stored one or added a member.
     */
    bool merge(const member_update& update, monotonic_time changed_at);

    /** @return The member, or nullptr. */
    [[nodiscard]] const entry* find(const node_id& id) const;

    /** @return All members, including dead ones. */
    [[nodiscard]] const entry_map& entries() const noexcept { return entries_; }

    /** @return Alive and suspect members in unspecified order; valid until the next change. */
    [[nodiscard]] std::span<const entry* const> live() const noexcept { return live_; }

    [[nodiscard]] const std::set<node_id>& suspects() const noexcept { return suspects_; }

    /** @return The next dead member after the given one in cyclic order, or nullptr. */
    [[nodiscard]] const entry* next_dead(const node_id& after) const;

    /** @return Live members of a service; nullptr if it never had a member. */
    [[nodiscard]] const member_group* group(const service_name& service) const;

    /** @return Copies of the updates of all members, including dead ones. */
    [[nodiscard]] std::vector<member_update> all() const;

    /**
     * @brief Returns the updates of the given buckets.
     * @param buckets Indexes of the buckets.
     * @param since Dead members that changed before this time are omitted.
     */
    [[nodiscard]] std::vector<member_update>
    updates_in_buckets(std::span<const std::uint16_t> buckets, monotonic_time since) const;

    /** @return Digest of the ids, incarnations and statuses of all live members. */
    [[nodiscard]] std::uint64_t digest() const noexcept { return digest_; }

    [[nodiscard]] const bucket_digests& buckets() const noexcept { return buckets_; }

    /** @brief Erases dead members whose last change is older than the given time. */
    void erase_dead_before(monotonic_time limit);

private:
    void add_to_indexes(entry& item);
    void remove_from_indexes(entry& item);

    entry_map entries_;
    std::vector<const entry*> live_;
    std::set<node_id> suspects_;
    std::set<node_id> dead_;
    std::map<service_name, member_group> groups_;
    bucket_digests buckets_{};
    std::uint64_t digest_{};
};

/** @return True if the candidate has a higher incarnation, or a later status at the same one. */
[[nodiscard]] bool supersedes(const member_update& candidate, const member_update& known) noexcept;

} // namespace savorywheel

#endif
