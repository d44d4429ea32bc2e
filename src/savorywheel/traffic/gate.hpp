#ifndef SAVORYWHEEL_TRAFFIC_GATE_HPP
#define SAVORYWHEEL_TRAFFIC_GATE_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/traffic/backend_client.hpp>
#include <savorywheel/traffic/backend_server.hpp>
#include <savorywheel/traffic/call_response.hpp>
#include <savorywheel/traffic/gate_call.hpp>
#include <savorywheel/traffic/gate_call_log.hpp>
#include <savorywheel/traffic/gate_state.hpp>
#include <savorywheel/transport/frame_handler.hpp>

#include <array>
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <span>
#include <thread>
#include <vector>

namespace savorywheel {

/**
 * @brief Admission control in front of the backend server of this node.
 *
 * All calls to the backend server pass the gate. It has one thread per slot, each of which runs one
 * call at a time, and refuses calls that are not expected to finish before their deadline. A
 * refused call was not run. Another thread refuses queued calls while all slots are busy.
 */
class gate final : public frame_handler {
public:
    /** @brief Dependencies; all must outlive the gate. */
    using environment = backend_client::environment;

    /** @param env Dependencies. */
    explicit gate(environment env)
        : environment_{std::move(env)}, call_log_{environment_.log, environment_.time},
          backend_client_{environment_}
    {
    }
    gate(const gate&) = delete;
    gate& operator=(const gate&) = delete;
    gate(gate&&) = delete;
    gate& operator=(gate&&) = delete;
    ~gate() override;

    /** @brief Sets the announced state of the backend server; std::nullopt if there is none. */
    void set_backend(std::optional<backend_server> backend);

    /** @brief Refuses new calls from now on; finishes those in flight. */
    void stop_accepting();

    /**
     * @brief Refuses new calls whose deadline is later, since this node stops before it.
     * @param limit When calls in progress are interrupted.
     */
    void reject_deadlines_after(monotonic_time limit);

    /**
     * @brief Refuses new calls, finishes those in flight and joins the threads.
     * @param limit Time after which the calls in flight are cancelled.
     */
    void stop(duration limit = duration::max());

    /** @return Number of running calls. */
    [[nodiscard]] std::uint32_t running() const;

    /** @return Number of queued calls. */
    [[nodiscard]] std::size_t waiting() const;

    /** @return Number of concurrent calls of the backend server; zero if there is none. */
    [[nodiscard]] std::uint32_t slots() const;

    /** @return Queue and totals for metrics. */
    [[nodiscard]] gate_counts counts() const;

    /** @return True if the backend server responds to none of its calls. */
    [[nodiscard]] bool silent() const;

    /** @return Number of calls refused for the reason since the start. */
    [[nodiscard]] std::uint64_t refusals(call_refusal reason) const
    {
        return refusals_.at(static_cast<std::size_t>(reason));
    }

    /** @copydoc backend_client::crash_reports_of */
    [[nodiscard]] std::vector<crash_report> crash_reports_of(const service_name& service) const
    {
        return backend_client_.crash_reports_of(service);
    }

    /** @copydoc backend_client::responses */
    [[nodiscard]] std::uint64_t responses(response_class kind) const
    {
        return backend_client_.responses(kind);
    }

    void on_frame(const std::shared_ptr<frame_sink>& connection, frame_kind kind,
                  std::uint64_t correlation, std::span<const std::byte> payload) override;
    void on_closed(const frame_sink& connection, bool established) override;

private:
    using call_pointer = gate_state::call_pointer;

    void on_call(const std::shared_ptr<frame_sink>& connection, std::uint64_t correlation,
                 std::span<const std::byte> payload);
    void on_crash_reports(frame_sink& connection, std::uint64_t correlation,
                          std::span<const std::byte> payload);
    void refuse_malformed(frame_sink& connection, std::string_view reason);
    void refuse(const gate_call& item, call_refusal reason, std::optional<duration> retry_after);
    void refuse_queued(event_id cause, std::span<const call_pointer> items);
    void admit(call_pointer item);
    [[nodiscard]] std::vector<call_pointer> remove_queued_if_silent(monotonic_time now);
    void cancel_if(const gate_state::call_predicate& predicate);
    void run();
    void watch_queue();
    void run_call(const call_pointer& item, const backend_server& backend);

    environment environment_;
    gate_call_log call_log_;
    backend_client backend_client_;
    mutable std::mutex mutex_;
    std::condition_variable work_available_;
    std::condition_variable call_ended_;
    std::condition_variable check_needed_;
    gate_state state_;
    std::array<std::atomic<std::uint64_t>, call_refusal_count> refusals_{};
    bool stopping_{};
    monotonic_time latest_deadline_{monotonic_time::max()};
    /** When the next check of the queue is due. */
    monotonic_time next_check_{monotonic_time::max()};
    bool watch_ended_{};
    std::vector<std::thread> threads_;
    std::thread watcher_;
};

} // namespace savorywheel

#endif
