#ifndef SAVORYWHEEL_DISTRIBUTION_CHECKPOINT_READER_HPP
#define SAVORYWHEEL_DISTRIBUTION_CHECKPOINT_READER_HPP

#include <savorywheel/core/outcome.hpp>
#include <savorywheel/distribution/checkpoint.hpp>
#include <savorywheel/distribution/checkpoint_manifest.hpp>
#include <savorywheel/store/object_store.hpp>

namespace savorywheel {

/** @brief Reads checkpoints from the object store. */
class checkpoint_reader {
public:
    /** @param store Must outlive the reader. */
    explicit checkpoint_reader(object_store& store) noexcept : store_{store} {}

    /**
     * @return The latest complete checkpoint; not_found if there is none; unavailable, timeout or
     * unknown_outcome if the store does not respond.
     */
    [[nodiscard]] outcome<checkpoint> read_latest();

private:
    [[nodiscard]] outcome<checkpoint> read(const checkpoint_manifest& manifest);

    object_store& store_;
};

} // namespace savorywheel

#endif
