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
 * @brief Calls at a gate, waiting and running, and what decides about them.
 * @warning Its owner holds a lock around each member.
 */
class gate_state {
public:
    /** @brief A call. */
    using call_pointer = call_queue::call_pointer;
    /** @brief Tells which calls are meant. */
    using call_predicate = std::function<bool(const gate_call&)>;

    /** @brief Takes the backend server's latest announcement; nothing if it is gone. */
    void set_backend(std::optional<backend_server> backend);

    /** @return The backend server; nothing if there is none. */
    [[nodiscard]] const std::optional<backend_server>& backend() const noexcept { return backend_; }

    /** @return Calls that the backend server takes at one time; zero without one. */
    [[nodiscard]] std::uint32_t slots() const noexcept { return backend_ ? backend_->slots : 0; }

    /** @return Calls that run now. */
    [[nodiscard]] std::uint32_t running() const noexcept
    {
        return static_cast<std::uint32_t>(running_.size());
    }

    /** @return Calls that wait for a slot. */
    [[nodiscard]] std::size_t waiting() const noexcept { return queue_.size(); }

    /** @return True if the backend server answers none of its calls. */
    [[nodiscard]] bool silent() const noexcept { return silence_detector_.silent(); }

    /** @return What to say of the load with each answer. */
    [[nodiscard]] gate_load load() const;

    /**
     * @brief Decides about a call that has come.
     * @param item The call.
     * @param crashing True if it crashes what runs it.
     * @param now Now.
     * @return none if it may wait for a slot.
     */
    [[nodiscard]] call_refusal decide(const gate_call& item, bool crashing, monotonic_time now);

    /** @return What keeps a call from being started; none if nothing. */
    [[nodiscard]] call_refusal refusal_at_start(const gate_call& item, bool crashing) const;

    /** @return Time after which a call like this one would probably be taken. */
    [[nodiscard]] duration retry_after(const gate_call& item, monotonic_time now) const;

    /** @brief Lets a call wait for a slot. */
    void push(call_pointer item) { queue_.push(std::move(item)); }

    /** @return True if a call waits that a thread should look at. */
    [[nodiscard]] bool has_work() const noexcept
    {
        return !queue_.empty() && (!backend_ || running() < slots());
    }

    /** @return The next call that waits, which does so no more; nullptr if none. */
    [[nodiscard]] call_pointer pop() { return queue_.pop(); }

    /** @return Calls that can no longer be finished in time, which wait no more. */
    [[nodiscard]] std::vector<call_pointer> remove_expiring(monotonic_time now);

    /** @return Calls that waited for a backend server that has just fallen silent. */
    [[nodiscard]] std::vector<call_pointer> remove_queued_if_silent(monotonic_time now);

    /** @brief Notes that a call runs. */
    void start(const call_pointer& item, monotonic_time now);

    /**
     * @brief Notes that a call runs no more.
     * @param item The call.
     * @param answered True if the backend server answered it.
     * @param now Now.
     * @return True if the backend server was silent until then.
     */
    [[nodiscard]] bool end(const call_pointer& item, bool answered, monotonic_time now);

    /** @brief Cancels calls that run, and drops calls that wait. */
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
