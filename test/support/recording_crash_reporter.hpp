#ifndef SAVORYWHEEL_TEST_SUPPORT_RECORDING_CRASH_REPORTER_HPP
#define SAVORYWHEEL_TEST_SUPPORT_RECORDING_CRASH_REPORTER_HPP

#include <savorywheel/traffic/crash_reporter.hpp>

#include <mutex>
#include <vector>

namespace savorywheel::test {

/** @brief Crash reporter that records the reports instead of sending them. */
class recording_crash_reporter final : public crash_reporter {
public:
    void broadcast(const crash_report& report) override
    {
        const std::scoped_lock lock{mutex_};
        reports_.push_back(report);
    }

    [[nodiscard]] std::vector<crash_report> reports() const
    {
        const std::scoped_lock lock{mutex_};
        return reports_;
    }

private:
    mutable std::mutex mutex_;
    std::vector<crash_report> reports_;
};

} // namespace savorywheel::test

#endif
