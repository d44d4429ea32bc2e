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

/** @brief Commits between two checkpoints. */
inline constexpr std::uint64_t checkpoint_interval = 256;

/** @brief Checkpoints that are kept; older ones are removed. */
inline constexpr std::size_t retained_checkpoints = 2;

/** @brief Largest encoded shard, in bytes; the store holds values up to a megabyte. */
inline constexpr std::size_t max_shard_bytes = 900'000;

/**
 * @brief Writes checkpoints into the store, each in shards that fit its values.
 *
 * The create-only claim of a version chooses one writer. The manifest comes last, so that a
 * checkpoint whose writer died is never read.
 */
class checkpoint_writer {
public:
    /** @param store The platform's service; must outlive the writer. */
    explicit checkpoint_writer(object_store& store) noexcept : store_{store} {}

    /**
     * @brief Writes a checkpoint, unless another writer has claimed its version.
     * @param point The checkpoint.
     * @return True if it was written; conflict if it is another writer's; else the store's reason.
     */
    [[nodiscard]] outcome<bool> write(const checkpoint& point);

private:
    void remove_old();

    object_store& store_;
};

/**
 * @brief Splits a checkpoint into encoded shards.
 * @param point The checkpoint.
 * @return JSON texts of at most max_shard_bytes, as far as single services allow.
 */
[[nodiscard]] std::vector<std::string> encode_shards(const checkpoint& point);

} // namespace savorywheel

#endif
