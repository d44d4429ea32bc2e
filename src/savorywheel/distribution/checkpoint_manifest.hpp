#ifndef SAVORYWHEEL_DISTRIBUTION_CHECKPOINT_MANIFEST_HPP
#define SAVORYWHEEL_DISTRIBUTION_CHECKPOINT_MANIFEST_HPP

#include <savorywheel/core/config_version.hpp>

#include <cstdint>

namespace savorywheel {

/** @brief Object written after all shards of a checkpoint; only its presence makes it valid. */
struct checkpoint_manifest {
    config_version version;
    /** @brief Shard count. */
    std::uint32_t shards{};
};

} // namespace savorywheel

#endif
