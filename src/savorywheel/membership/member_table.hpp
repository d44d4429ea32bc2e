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

/** @brief Buckets of a member table, each with a digest of its own. */
inline constexpr std::size_t member_bucket_count = 256;

/** @brief Member records of the whole mesh, merged by incarnation and status. */
class member_table {
public:
    /** @brief A member with the local time of its last change. */
    struct entry {
        /** @brief Record and status. */
        member_update update;
        /** @brief When this node last changed the entry. */
        monotonic_time changed_at;
        /** @brief Digest of the update, for the table's digests; zero for a dead member. */
        std::uint64_t digest{};
        /** @brief Bucket of the member. */
        std::size_t bucket{};
        /** @brief Place among the live members; only for a live one. */
        std::size_t live_index{};
    };

    /** @brief Entries by node. */
    using entry_map = std::map<node_id, entry>;

    /** @brief Digests of the buckets. */
    using bucket_digests = std::array<std::uint64_t, member_bucket_count>;

    member_table() = default;
    member_table(const member_table&) = delete;
    member_table& operator=(const member_table&) = delete;
    member_table(member_table&&) = delete;
    member_table& operator=(member_table&&) = delete;
    ~member_table() = default;

    /**
     * @brief Merges an update.
     * @param update The update.
     * @param changed_at Local time of the change.
     * @return True if it prevailed over what was known.
     */
    bool merge(const member_update& update, monotonic_time changed_at);

    /** @return The member; nullptr if unknown. */
    [[nodiscard]] const entry* find(const node_id& id) const;

    /** @return All members. */
    [[nodiscard]] const entry_map& entries() const noexcept { return entries_; }

    /** @return Members that are not dead, in no order; valid until the next change. */
    [[nodiscard]] std::span<const entry* const> live() const noexcept { return live_; }

    /** @return Suspected members. */
    [[nodiscard]] const std::set<node_id>& suspects() const noexcept { return suspects_; }

    /** @return The dead member after the given one in a circle; nullptr if there is none. */
    [[nodiscard]] const entry* next_dead(const node_id& after) const;

    /** @return Live members of a service; nullptr if it never had any. */
    [[nodiscard]] const member_group* group(const service_name& service) const;

    /** @return Updates of all members. */
    [[nodiscard]] std::vector<member_update> all() const;

    /**
     * @brief Collects the updates of some buckets.
     * @param buckets Numbers of the buckets.
     * @param since Dead members that changed before this time are left out.
     */
    [[nodiscard]] std::vector<member_update>
    updates_in_buckets(std::span<const std::uint16_t> buckets, monotonic_time since) const;

    /** @return Digest of all live records, the same for equal tables. */
    [[nodiscard]] std::uint64_t digest() const noexcept { return digest_; }

    /** @return Digests of the buckets. */
    [[nodiscard]] const bucket_digests& buckets() const noexcept { return buckets_; }

    /** @brief Forgets dead members that have not changed since a time. */
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

/** @return True if the first update prevails over the second one about the same node. */
[[nodiscard]] bool supersedes(const member_update& candidate, const member_update& known) noexcept;

} // namespace savorywheel

#endif
