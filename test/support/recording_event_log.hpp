#ifndef SAVORYWHEEL_TEST_SUPPORT_RECORDING_EVENT_LOG_HPP
#define SAVORYWHEEL_TEST_SUPPORT_RECORDING_EVENT_LOG_HPP

#include <savorywheel/log/event_log.hpp>

#include <algorithm>
#include <mutex>
#include <string>
#include <vector>

namespace savorywheel::test {

/** @brief Event log that records the numbers of the events, and the fields of the last one. */
class recording_event_log final : public event_log {
public:
    void write(event_id id, std::string_view /*detail*/) override
    {
        const std::scoped_lock lock{mutex_};
        events_.push_back(id);
    }

    void write_decision(event_id id, std::string_view detail,
                        std::span<const log_field> fields) override
    {
        {
            const std::scoped_lock lock{mutex_};
            last_fields_.assign(fields.begin(), fields.end());
        }
        write(id, detail);
    }

    /** @return Value of a field of the last decision; empty if it has no such field. */
    [[nodiscard]] std::string last_field(std::string_view name) const
    {
        const std::scoped_lock lock{mutex_};
        const auto found = std::ranges::find(last_fields_, name, &log_field::name);
        return found == last_fields_.end() ? std::string{} : found->value;
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
    std::vector<log_field> last_fields_;
};

} // namespace savorywheel::test

#endif
