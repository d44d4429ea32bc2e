#ifndef SAVORYWHEEL_DISTRIBUTION_CHECKPOINT_MANIFEST_HPP
#define SAVORYWHEEL_DISTRIBUTION_CHECKPOINT_MANIFEST_HPP

#include <savorywheel/core/config_version.hpp>

#include <cstdint>

namespace savorywheel {

/** @brief Object that completes a checkpoint: it is written after all shards. */
struct checkpoint_manifest {
    /** @brief Version of the checkpoint. */
    config_version version;
    /** @brief Number of shards. */
    std::uint32_t shards{};
};

} // namespace savorywheel

#endif
