#ifndef SAVORYWHEEL_DISTRIBUTION_LOG_TAIL_HPP
#define SAVORYWHEEL_DISTRIBUTION_LOG_TAIL_HPP

#include <savorywheel/core/config_version.hpp>
#include <savorywheel/core/failure.hpp>
#include <savorywheel/distribution/commit_batch_message.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace savorywheel {

/** @brief What the store holds of the log after a version. */
struct log_tail {
    /** @brief Commits, after a checkpoint if one was read. */
    commit_batch_message batch;
    /** @brief Commits before those whose objects were written again; they are not applied. */
    std::vector<commit> rewritten;
    /** @brief Version of the last commit that was read. */
    config_version head;
    /** @brief Revision of the store from which a watch goes on. */
    std::uint64_t revision{};
    /** @brief Why reading ended before the log's end, if it did. */
    std::optional<failure> fault;
};

} // namespace savorywheel

#endif
