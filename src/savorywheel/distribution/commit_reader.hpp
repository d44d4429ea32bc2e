#ifndef SAVORYWHEEL_DISTRIBUTION_COMMIT_READER_HPP
#define SAVORYWHEEL_DISTRIBUTION_COMMIT_READER_HPP

#include <savorywheel/core/outcome.hpp>
#include <savorywheel/distribution/log_tail.hpp>
#include <savorywheel/store/object_store.hpp>

namespace savorywheel {

/** @brief Reads the stored log page by page, after the latest checkpoint if needed. */
class commit_reader {
public:
    /** @param store Must outlive the reader. */
    explicit commit_reader(object_store& store) noexcept : store_{store} {}

    /**
     * @brief Reads the commits after a version.
     * @param after Version that is already applied; zero to start from the latest checkpoint.
     * @return The tail of the log; unavailable or timeout if the store does not respond.
     */
    [[nodiscard]] outcome<log_tail> read_after(config_version after);

private:
    object_store& store_;
};

} // namespace savorywheel

#endif
