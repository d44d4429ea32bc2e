#ifndef SAVORYWHEEL_TRAFFIC_CALL_RESPONSE_HPP
#define SAVORYWHEEL_TRAFFIC_CALL_RESPONSE_HPP

#include <savorywheel/http/http_response.hpp>
#include <savorywheel/traffic/call_refusal.hpp>
#include <savorywheel/traffic/call_result.hpp>
#include <savorywheel/traffic/gate_load.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <utility>

namespace savorywheel {

/** @brief Outcome of a call, also the response message between nodes. */
struct call_response {
    call_result result{call_result::unknown};
    /** @brief Reason of the refusal; none if the call was not refused. */
    call_refusal refusal{call_refusal::none};
    /** @brief Why there is no response, in words; empty if there is one. */
    std::string reason;
    /** @brief Response of the backend server, if the result is answered. */
    http_response response;
    /** @brief True if the request was sent to a backend server. */
    bool reached_server{};
    /** @brief Time after which a refused call would probably be admitted, if known. */
    std::optional<std::chrono::milliseconds> retry_after{};
    /** @brief Load of the backend server, if its gate responded. */
    std::optional<gate_load> load{};
    /** @brief Time that the call took at the backend server, without queueing; zero if unknown. */
    std::chrono::microseconds run_time{};

    /** @return The outcome of a call that was not run. */
    [[nodiscard]] static call_response not_run(call_refusal refusal, std::string reason)
    {
        return {call_result::not_run, refusal, std::move(reason), {}};
    }

    /** @return The outcome of a call that may have been run. */
    [[nodiscard]] static call_response unknown(std::string reason)
    {
        return {call_result::unknown, call_refusal::none, std::move(reason), {}, true};
    }
};

} // namespace savorywheel

#endif
