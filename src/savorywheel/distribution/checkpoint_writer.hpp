#ifndef SAVORYWHEEL_DISTRIBUTION_CHECKPOINT_WRITER_HPP
#define SAVORYWHEEL_DISTRIBUTION_CHECKPOINT_WRITER_HPP

#include <savorywheel/core/outcome.hpp>
#include <savorywheel/distribution/checkpoint.hpp>
#include <savorywheel/store/object_store.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace savorywheel {

/** @brief Number of commits between two checkpoints. */
inline constexpr std::uint64_t checkpoint_interval = 256;

/** @brief Number of checkpoints retained in the store; older ones are deleted. */
inline constexpr std::size_t retained_checkpoints = 2;

/** @brief Maximum size of an encoded shard, in bytes; the store limits values to one megabyte. */
inline constexpr std::size_t max_shard_bytes = 900'000;

/**
 * @brief Writes checkpoints to the object store, split into shards below its value size limit.
 *
 * Concurrent writers compete for a version by creating its claim object; one succeeds. The
 * manifest is written last, so a checkpoint whose writer crashed is never read.
 */
class checkpoint_writer {
public:
    /** @param store Must outlive the writer. */
    explicit checkpoint_writer(object_store& store) noexcept : store_{store} {}

    /**
     * @brief Writes a checkpoint, unless another writer has claimed its version.
     * @return True if the checkpoint was written; conflict if another writer claimed it; otherwise
     * the error of the store.
     */
    [[nodiscard]] outcome<bool> write(const checkpoint& point);

private:
    void remove_old();

    object_store& store_;
};

/**
 * @brief Splits a checkpoint into encoded shards.
 * @return JSON documents of at most max_shard_bytes; a single service that exceeds the limit
 * forms an oversized shard.
 */
[[nodiscard]] std::vector<std::string> encode_shards(const checkpoint& point);

} // namespace savorywheel

#endif
