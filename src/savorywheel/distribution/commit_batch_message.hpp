#ifndef SAVORYWHEEL_DISTRIBUTION_COMMIT_BATCH_MESSAGE_HPP
#define SAVORYWHEEL_DISTRIBUTION_COMMIT_BATCH_MESSAGE_HPP

#include <savorywheel/config/commit.hpp>
#include <savorywheel/distribution/checkpoint.hpp>

#include <optional>
#include <vector>

namespace savorywheel {

/** @brief Consecutive commits, after a checkpoint if the receiver was too far behind. */
struct commit_batch_message {
    /** @brief State before the commits, if it had to be sent. */
    std::optional<checkpoint> base;
    /** @brief Commits, in order. */
    std::vector<commit> commits;
    /** @brief True if the sender has too much to do and the receiver shall ask another node. */
    bool refused{};
};

} // namespace savorywheel

#endif
