#ifndef SAVORYWHEEL_TEST_SUPPORT_RECORDING_EVENT_LOG_HPP
#define SAVORYWHEEL_TEST_SUPPORT_RECORDING_EVENT_LOG_HPP

#include <savorywheel/log/event_log.hpp>

#include <algorithm>
#include <mutex>
#include <vector>

namespace savorywheel::test {

/** @brief Event log that records the numbers of the events. */
class recording_event_log final : public event_log {
public:
    void write(event_id id, std::string_view /*detail*/) override
    {
        const std::scoped_lock lock{mutex_};
        events_.push_back(id);
    }

    /** @return Number of times the event was written. */
    [[nodiscard]] std::size_t count(event_id id) const
    {
        const std::scoped_lock lock{mutex_};
        return static_cast<std::size_t>(std::ranges::count(events_, id));
    }

private:
    mutable std::mutex mutex_;
    std::vector<event_id> events_;
};

} // namespace savorywheel::test

#endif
