#ifndef SAVORYWHEEL_DISTRIBUTION_LOG_TAIL_HPP
#define SAVORYWHEEL_DISTRIBUTION_LOG_TAIL_HPP

#include <savorywheel/core/config_version.hpp>
#include <savorywheel/core/failure.hpp>
#include <savorywheel/distribution/commit_batch_message.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace savorywheel {

/** @brief Part of the stored log after a version. */
struct log_tail {
    /** @brief New commits, preceded by a checkpoint if one was read. */
    commit_batch_message batch;
    /** @brief Earlier commits whose objects were overwritten; they are not applied. */
    std::vector<commit> rewritten;
    /** @brief Version of the last commit read. */
    config_version head;
    /** @brief Store revision from which a watch continues. */
    std::uint64_t revision{};
    /** @brief Reason why reading stopped before the end of the log, if it did. */
    std::optional<failure> fault;
};

} // namespace savorywheel

#endif
