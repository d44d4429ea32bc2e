#ifndef SAVORYWHEEL_TRAFFIC_GATE_STATE_HPP
#define SAVORYWHEEL_TRAFFIC_GATE_STATE_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/traffic/abandoned_calls.hpp>
#include <savorywheel/traffic/admission_check.hpp>
#include <savorywheel/traffic/backend_server.hpp>
#include <savorywheel/traffic/call_queue.hpp>
#include <savorywheel/traffic/call_response.hpp>
#include <savorywheel/traffic/gate_counts.hpp>
#include <savorywheel/traffic/gate_load.hpp>
#include <savorywheel/traffic/service_time_estimate.hpp>
#include <savorywheel/traffic/service_time_table.hpp>
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
    [[nodiscard]] gate_load load(monotonic_time now) const;

    /** @return Queue and totals for metrics. */
    [[nodiscard]] gate_counts counts(monotonic_time now) const;

    /** @return True if calls that were given up occupy all slots that no call occupies. */
    [[nodiscard]] bool held_by_abandoned_calls() const noexcept
    {
        return backend_ && running() < slots() && running() + abandoned_.count() >= slots();
    }

    /**
     * @brief Decides whether to admit a call that has arrived, and its place in the queue.
     * @param item Call to admit; gets its expected service time and its place.
     * @param crashing True if the request is known to crash backend servers.
     * @param now Current time.
     * @return The reason to refuse the call; none if it may be queued.
     */
    [[nodiscard]] call_refusal decide(gate_call& item, bool crashing, monotonic_time now);

    /** @return The reason why a call must not be started now; none if it may. */
    [[nodiscard]] call_refusal refusal_at_start(const gate_call& item, bool crashing) const;

    /** @return Time after which an equal call would probably be admitted. */
    [[nodiscard]] duration retry_after(const gate_call& item, monotonic_time now) const;

    /**
     * @brief Adds an admitted call to the queue.
     * @return True if calls behind it now start later.
     */
    bool push(call_pointer item);

    /** @return True if a queued call can be started or must be refused. */
    [[nodiscard]] bool has_work() const noexcept
    {
        return !queue_.empty() && (!backend_ || running() + abandoned_.count() < slots());
    }

    /** @return The next queued call, removed from the queue; nullptr if there is none. */
    [[nodiscard]] call_pointer pop() { return queue_.pop(); }

    /** @return The calls of lowest rank that exceed the queue, removed from it. */
    [[nodiscard]] std::vector<call_pointer> remove_displaced();

    /** @return Queued calls that cannot finish in time, removed from the queue. */
    [[nodiscard]] std::vector<call_pointer> remove_expiring(monotonic_time now);

    /** @return When remove_expiring() or has_work() may change without a call; nullopt if never. */
    [[nodiscard]] std::optional<monotonic_time> next_check() const;

    /** @return All queued calls, removed, if the backend server has just been found silent. */
    [[nodiscard]] std::vector<call_pointer> remove_queued_if_silent(monotonic_time now);

    /** @brief Adds a call to the running calls. */
    void start(const call_pointer& item, monotonic_time now);

    /**
     * @brief Removes a call from the running calls.
     * @param item Call that finished.
     * @param response Its outcome.
     * @param now Current time.
     * @return True if the response ends a period of silence.
     */
    [[nodiscard]] bool end(const call_pointer& item, const call_response& response,
                           monotonic_time now);

    /** @brief Cancels the matching running calls and drops the matching queued ones. */
    void cancel_if(const call_predicate& predicate);

private:
    [[nodiscard]] admission_check admission_check_of(const gate_call& item, call_class placement,
                                                     monotonic_time now) const;
    [[nodiscard]] call_refusal place(gate_call& item, monotonic_time now);
    [[nodiscard]] call_refusal place_late(gate_call& item, monotonic_time now) const;
    [[nodiscard]] bool is_express(const gate_call& item, monotonic_time now) const;
    [[nodiscard]] duration start_after(const queue_ahead& ahead, duration rest) const;
    [[nodiscard]] duration average_rest(monotonic_time now) const;
    [[nodiscard]] duration running_work(monotonic_time now) const;

    std::optional<backend_server> backend_;
    call_queue queue_;
    std::vector<call_pointer> running_;
    abandoned_calls abandoned_;
    service_time_estimate service_time_;
    service_time_table service_times_;
    silence_detector silence_detector_;
    gate_counts counts_;
    /** Until then, a call without a tenant is one on a public route. */
    monotonic_time tenants_seen_until_;
};

} // namespace savorywheel

#endif
