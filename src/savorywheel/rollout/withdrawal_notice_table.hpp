#ifndef SAVORYWHEEL_ROLLOUT_WITHDRAWAL_NOTICE_TABLE_HPP
#define SAVORYWHEEL_ROLLOUT_WITHDRAWAL_NOTICE_TABLE_HPP

#include <savorywheel/config/mesh_state.hpp>
#include <savorywheel/rollout/withdrawal_notice.hpp>

#include <map>
#include <vector>

namespace savorywheel {

/** @brief Withdrawal notices received by this node; per service, the one of the latest move. */
class withdrawal_notice_table {
public:
    /**
     * @brief Adds a notice.
     * @return True if it is new; duplicates and notices of older moves are dropped.
     */
    bool add(const withdrawal_notice& notice);

    /** @brief Erases the notices of moves that a commit has ended or replaced. */
    void erase_ended(const mesh_state& state);

    /** @return The notice of a move, or nullptr. */
    [[nodiscard]] const withdrawal_notice* find(const service_name& service,
                                                config_version asked_at) const;

    /** @return All notices, ordered by service. */
    [[nodiscard]] std::vector<withdrawal_notice> all() const;

private:
    std::map<service_name, withdrawal_notice> notices_;
    std::map<service_name, config_version> ended_;
};

} // namespace savorywheel

#endif
