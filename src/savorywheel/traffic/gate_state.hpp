#ifndef SAVORYWHEEL_TRAFFIC_GATE_STATE_HPP
#define SAVORYWHEEL_TRAFFIC_GATE_STATE_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/traffic/admission_check.hpp>
#include <savorywheel/traffic/backend_server.hpp>
#include <savorywheel/traffic/call_queue.hpp>
#include <savorywheel/traffic/gate_load.hpp>
#include <savorywheel/traffic/service_time_estimate.hpp>
#include <savorywheel/traffic/silence_detector.hpp>

#include <functional>
#include <optional>
#include <vector>

namespace savorywheel {

/**
 * @brief Queued and running calls of a gate, and the admission decision.
 * @warning Not thread-safe; the owner must lock a mutex around each call.
 */
class gate_state {
public:
    using call_pointer = call_queue::call_pointer;
    /** @brief Predicate that selects calls. */
    using call_predicate = std::function<bool(const gate_call&)>;

    /** @brief Sets the announced state of the backend server; std::nullopt if there is none. */
    void set_backend(std::optional<backend_server> backend);

    /** @return The backend server; std::nullopt if there is none. */
    [[nodiscard]] const std::optional<backend_server>& backend() const noexcept { return backend_; }

    /** @return Number of concurrent calls of the backend server; zero if there is none. */
    [[nodiscard]] std::uint32_t slots() const noexcept { return backend_ ? backend_->slots : 0; }

    /** @return Number of running calls. */
    [[nodiscard]] std::uint32_t running() const noexcept
    {
        return static_cast<std::uint32_t>(running_.size());
    }

    /** @return Number of queued calls. */
    [[nodiscard]] std::size_t waiting() const noexcept { return queue_.size(); }

    /** @return True if the backend server responds to none of its calls. */
    [[nodiscard]] bool silent() const noexcept { return silence_detector_.silent(); }

    /** @return The load to report in a response. */
    [[nodiscard]] gate_load load() const;

    /**
     * @brief Decides whether to admit a call that has arrived.
     * @param item Call to admit.
     * @param crashing True if the request is known to crash backend servers.
     * @param now Current time.
     * @return The reason to refuse the call; none if it may be queued.
     */
    [[nodiscard]] call_refusal decide(const gate_call& item, bool crashing, monotonic_time now);

    /** @return The reason why a call must not be started now; none if it may. */
    [[nodiscard]] call_refusal refusal_at_start(const gate_call& item, bool crashing) const;

    /** @return Time after which an equal call would probably be admitted. */
    [[nodiscard]] duration retry_after(const gate_call& item, monotonic_time now) const;

    /** @brief Adds a call to the queue. */
    void push(call_pointer item) { queue_.push(std::move(item)); }

    /** @return True if a queued call can be started or must be refused. */
    [[nodiscard]] bool has_work() const noexcept
    {
        return !queue_.empty() && (!backend_ || running() < slots());
    }

    /** @return The next queued call, removed from the queue; nullptr if there is none. */
    [[nodiscard]] call_pointer pop() { return queue_.pop(); }

    /** @return Queued calls that cannot finish in time, removed from the queue. */
    [[nodiscard]] std::vector<call_pointer> remove_expiring(monotonic_time now);

    /** @return All queued calls, removed, if the backend server has just been found silent. */
    [[nodiscard]] std::vector<call_pointer> remove_queued_if_silent(monotonic_time now);

    /** @brief Adds a call to the running calls. */
    void start(const call_pointer& item, monotonic_time now);

    /**
     * @brief Removes a call from the running calls.
     * @param item Call that finished.
     * @param answered True if the backend server sent a complete response.
     * @param now Current time.
     * @return True if the response ends a period of silence.
     */
    [[nodiscard]] bool end(const call_pointer& item, bool answered, monotonic_time now);

    /** @brief Cancels the matching running calls and drops the matching queued ones. */
    void cancel_if(const call_predicate& predicate);

private:
    [[nodiscard]] admission_check admission_check_of(const gate_call& item,
                                                     monotonic_time now) const;

    std::optional<backend_server> backend_;
    call_queue queue_;
    std::vector<call_pointer> running_;
    service_time_estimate service_time_;
    silence_detector silence_detector_;
};

} // namespace savorywheel

#endif
