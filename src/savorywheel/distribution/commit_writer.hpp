#ifndef SAVORYWHEEL_DISTRIBUTION_COMMIT_WRITER_HPP
#define SAVORYWHEEL_DISTRIBUTION_COMMIT_WRITER_HPP

#include <savorywheel/config/commit.hpp>
#include <savorywheel/core/outcome.hpp>
#include <savorywheel/store/object_store.hpp>

namespace savorywheel {

/**
 * @brief Appends to the ordered log; the platform's create-only write decides between writers.
 */
class commit_writer {
public:
    /** @param store The platform's service; must outlive the writer. */
    explicit commit_writer(object_store& store) noexcept : store_{store} {}

    /**
     * @brief Appends a commit at its version.
     *
     * A lost answer is settled by reading the key and comparing the operation.
     * @param change The commit.
     * @return True if the commit was accepted; conflict if another commit has the version;
     * unavailable if nothing was written; unknown_outcome if that could not be found out.
     */
    [[nodiscard]] outcome<bool> append(const commit& change);

    /**
     * @brief Reads the commits after a version.
     * @param after Version.
     * @return The commits, in order; malformed if an object is not a commit.
     */
    [[nodiscard]] outcome<std::vector<commit>> read_after(config_version after);

private:
    [[nodiscard]] outcome<bool> resolve_unknown_outcome(const commit& change);

    object_store& store_;
};

} // namespace savorywheel

#endif
