#ifndef SAVORYWHEEL_DISTRIBUTION_COMMIT_PUSH_MESSAGE_HPP
#define SAVORYWHEEL_DISTRIBUTION_COMMIT_PUSH_MESSAGE_HPP

#include <savorywheel/core/names.hpp>
#include <savorywheel/distribution/commit_batch_message.hpp>

namespace savorywheel {

/** @brief New commits forwarded down a distribution tree. */
struct commit_push_message {
    /** @brief Root of the tree: the relay that read the commits from the object store. */
    node_id root;
    commit_batch_message batch;
};

} // namespace savorywheel

#endif
