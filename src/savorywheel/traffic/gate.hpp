#ifndef SAVORYWHEEL_TRAFFIC_GATE_HPP
#define SAVORYWHEEL_TRAFFIC_GATE_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/http/http_client.hpp>
#include <savorywheel/traffic/backend_server.hpp>
#include <savorywheel/traffic/call_request.hpp>
#include <savorywheel/traffic/call_response.hpp>
#include <savorywheel/transport/frame_handler.hpp>

#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace savorywheel {

/**
 * @brief The only way to the backend server beside this node.
 *
 * It runs as many calls at one time as the backend server has slots, one on each of its threads,
 * and refuses what it cannot run before the deadline. What it refuses was not run.
 */
class gate final : public frame_handler {
public:
    /**
     * @param client Sends requests to the backend server; must outlive the gate.
     * @param time Clock; must outlive the gate.
     */
    gate(http_client& client, const clock& time) noexcept : client_{client}, clock_{time} {}
    gate(const gate&) = delete;
    gate& operator=(const gate&) = delete;
    gate(gate&&) = delete;
    gate& operator=(gate&&) = delete;
    ~gate() override;

    /** @brief Takes the backend server's latest announcement; nothing if it is gone. */
    void set_backend(std::optional<backend_server> backend);

    /** @brief Refuses new calls, finishes those in progress and ends the threads. */
    void stop();

    /** @return Calls that run now. */
    [[nodiscard]] std::uint32_t running() const;

    /** @return Calls that wait for a slot. */
    [[nodiscard]] std::size_t waiting() const;

    void on_frame(const std::shared_ptr<frame_sink>& source, frame_kind kind,
                  std::uint64_t correlation, std::span<const std::byte> payload) override;
    void on_closed(const frame_sink& source, bool established) override;

private:
    struct waiting_call {
        std::shared_ptr<frame_sink> source;
        std::uint64_t correlation{};
        call_request call;
        monotonic_time deadline;
    };

    [[nodiscard]] std::string refusal(const call_request& call) const;
    void admit(waiting_call item);
    void cancel(const frame_sink& source, std::uint64_t correlation);
    void run();
    [[nodiscard]] call_response execute(const waiting_call& item, const backend_server& backend);

    http_client& client_;
    const clock& clock_;
    mutable std::mutex mutex_;
    std::condition_variable wake_;
    std::optional<backend_server> backend_;
    std::deque<waiting_call> queue_;
    std::uint32_t running_{};
    bool stopping_{};
    std::vector<std::thread> threads_;
};

} // namespace savorywheel

#endif
