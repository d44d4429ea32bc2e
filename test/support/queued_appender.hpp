#ifndef SAVORYWHEEL_TEST_SUPPORT_QUEUED_APPENDER_HPP
#define SAVORYWHEEL_TEST_SUPPORT_QUEUED_APPENDER_HPP

#include <savorywheel/distribution/commit_writer.hpp>
#include <savorywheel/rollout/commit_appender.hpp>

#include <deque>
#include <utility>

namespace savorywheel::test {

/** @brief Appender that queues commits until a test executes them with a chosen result. */
class queued_appender final : public commit_appender {
public:
    /** @brief Whether a commit is written, and whether its response arrives. */
    enum class write_result { answered, response_lost, not_written };

    /** @param store Store that receives the commits; must outlive the appender. */
    explicit queued_appender(object_store& store) noexcept : store_{store} {}

    void append(const commit& change, const callback& done) override
    {
        queue_.emplace_back(change, done);
    }

    /** @brief Executes the oldest queued commit, if any. */
    void run_next(write_result result)
    {
        if (queue_.empty()) {
            return;
        }
        const auto [change, done] = std::move(queue_.front());
        queue_.pop_front();
        if (result == write_result::not_written) {
            done(failure{failure_code::unavailable, "down"});
            return;
        }
        const auto written = commit_writer{store_}.append(change);
        if (result == write_result::response_lost) {
            done(failure{failure_code::unknown_outcome, "lost"});
            return;
        }
        done(written);
    }

private:
    object_store& store_;
    std::deque<std::pair<commit, callback>> queue_;
};

} // namespace savorywheel::test

#endif
