#ifndef SAVORYWHEEL_ROLLOUT_COMMIT_APPENDER_HPP
#define SAVORYWHEEL_ROLLOUT_COMMIT_APPENDER_HPP

#include <savorywheel/config/commit.hpp>
#include <savorywheel/core/outcome.hpp>

#include <functional>

namespace savorywheel {

/** @brief Appends commits to the ordered log without blocking the control thread. */
class commit_appender {
public:
    /** @brief Receives the result of commit_writer::append() on the control thread. */
    using callback = std::function<void(const outcome<bool>&)>;

    commit_appender() = default;
    commit_appender(const commit_appender&) = delete;
    commit_appender& operator=(const commit_appender&) = delete;
    commit_appender(commit_appender&&) = delete;
    commit_appender& operator=(commit_appender&&) = delete;
    virtual ~commit_appender() = default;

    /**
     * @brief Appends a commit at its version.
     * @param done Called once, after this function has returned.
     */
    virtual void append(const commit& change, const callback& done) = 0;
};

} // namespace savorywheel

#endif
