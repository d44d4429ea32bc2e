#ifndef SAVORYWHEEL_DISTRIBUTION_COMMIT_WRITER_HPP
#define SAVORYWHEEL_DISTRIBUTION_COMMIT_WRITER_HPP

#include <savorywheel/config/commit.hpp>
#include <savorywheel/core/outcome.hpp>
#include <savorywheel/store/object_store.hpp>

namespace savorywheel {

/** @brief Appends to the ordered log; the store's create-only write arbitrates between writers. */
class commit_writer {
public:
    /** @param store Must outlive the writer. */
    explicit commit_writer(object_store& store) noexcept : store_{store} {}

    /**
     * @brief Appends a commit at its version.
     *
     * If the response to the write is lost, the key is read back and its operation compared.
     * @return True if the commit was accepted; conflict if another commit has the version;
     * unavailable if nothing was written; unknown_outcome if the read-back failed.
     */
    [[nodiscard]] outcome<bool> append(const commit& change);

    /** @return The commits after a version, in order; malformed if an object is not a commit. */
    [[nodiscard]] outcome<std::vector<commit>> read_after(config_version after);

private:
    [[nodiscard]] outcome<bool> resolve_unknown_outcome(const commit& change);

    object_store& store_;
};

} // namespace savorywheel

#endif
