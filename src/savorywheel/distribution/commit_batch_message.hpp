#ifndef SAVORYWHEEL_DISTRIBUTION_COMMIT_BATCH_MESSAGE_HPP
#define SAVORYWHEEL_DISTRIBUTION_COMMIT_BATCH_MESSAGE_HPP

#include <savorywheel/config/commit.hpp>
#include <savorywheel/distribution/checkpoint.hpp>

#include <optional>
#include <vector>

namespace savorywheel {

/** @brief Consecutive commits, preceded by a checkpoint if the receiver is too far behind. */
struct commit_batch_message {
    /** @brief State before the commits, if the log no longer reaches back to the receiver. */
    std::optional<checkpoint> base;
    /** @brief In version order. */
    std::vector<commit> commits;
    /** @brief True if the sender is overloaded; the receiver retries with another node. */
    bool refused{};
};

} // namespace savorywheel

#endif
