#ifndef SAVORYWHEEL_ROLLOUT_WITHDRAWAL_NOTICE_TABLE_HPP
#define SAVORYWHEEL_ROLLOUT_WITHDRAWAL_NOTICE_TABLE_HPP

#include <savorywheel/config/mesh_state.hpp>
#include <savorywheel/rollout/withdrawal_notice.hpp>

#include <map>
#include <vector>

namespace savorywheel {

/** @brief Notices that this node knows; for each service that of the latest move. */
class withdrawal_notice_table {
public:
    /**
     * @brief Takes a notice.
     * @return True if it is new; the notice of an older move, or a second one, is dropped.
     */
    bool add(const withdrawal_notice& notice);

    /** @brief Drops the notices of moves that a commit has ended or replaced. */
    void erase_ended(const mesh_state& state);

    /** @return The notice of a move; nullptr if there is none. */
    [[nodiscard]] const withdrawal_notice* find(const service_name& service,
                                                config_version asked_at) const;

    /** @return All notices, in the order of their services. */
    [[nodiscard]] std::vector<withdrawal_notice> all() const;

private:
    std::map<service_name, withdrawal_notice> notices_;
    std::map<service_name, config_version> ended_;
};

} // namespace savorywheel

#endif
