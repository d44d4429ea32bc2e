#ifndef SAVORYWHEEL_MEMBERSHIP_MEMBER_TABLE_HPP
#define SAVORYWHEEL_MEMBERSHIP_MEMBER_TABLE_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/membership/member_update.hpp>

#include <map>
#include <optional>
#include <vector>

namespace savorywheel {

/** @brief Member records of the whole mesh, merged by incarnation and status. */
class member_table {
public:
    /** @brief A member with the local time of its last change. */
    struct entry {
        /** @brief Record and status. */
        member_update update;
        /** @brief When this node last changed the entry. */
        monotonic_time changed_at;
        /** @brief Digest of the update, for the table's digest. */
        std::uint64_t digest{};
    };

    /** @brief Entries by node. */
    using entry_map = std::map<node_id, entry>;

    /**
     * @brief Merges an update.
     * @param update The update.
     * @param now Local time.
     * @return True if it prevailed over what was known.
     */
    bool merge(const member_update& update, monotonic_time now);

    /** @return The member; nullptr if unknown. */
    [[nodiscard]] const entry* find(const node_id& id) const;

    /** @return All members. */
    [[nodiscard]] const entry_map& entries() const noexcept { return entries_; }

    /** @return Updates of all members, for a full exchange. */
    [[nodiscard]] std::vector<member_update> all() const;

    /** @return Digest of all records, the same for equal tables. */
    [[nodiscard]] std::uint64_t digest() const noexcept { return digest_; }

    /** @brief Forgets dead members that have not changed since a time. */
    void forget_dead_before(monotonic_time limit);

private:
    entry_map entries_;
    std::uint64_t digest_{};
};

/** @return True if the first update prevails over the second one about the same node. */
[[nodiscard]] bool prevails(const member_update& candidate, const member_update& known) noexcept;

} // namespace savorywheel

#endif
