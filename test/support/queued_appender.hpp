#ifndef SAVORYWHEEL_TEST_SUPPORT_QUEUED_APPENDER_HPP
#define SAVORYWHEEL_TEST_SUPPORT_QUEUED_APPENDER_HPP

#include <savorywheel/distribution/commit_writer.hpp>
#include <savorywheel/rollout/commit_appender.hpp>

#include <deque>
#include <utility>

namespace savorywheel::test {

/** @brief Appender whose writes happen when a test says so, with the fate that it chooses. */
class queued_appender final : public commit_appender {
public:
    /** @brief Fate of a write. */
    enum class write_result { answered, response_lost, not_written };

    /** @param store The platform's service; must outlive the appender. */
    explicit queued_appender(object_store& store) noexcept : store_{store} {}

    void append(const commit& change, const callback& done) override
    {
        queue_.emplace_back(change, done);
    }

    /** @brief Lets the oldest write happen, if there is one. */
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
