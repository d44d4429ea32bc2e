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

/** @brief The outcome of a call. */
struct call_response {
    /** @brief What became of it. */
    call_result result{call_result::unknown};
    /** @brief Why it was not run, if it was refused. */
    call_refusal refusal{call_refusal::none};
    /** @brief Why there is no answer; empty if there is one. */
    std::string reason;
    /** @brief The backend server's answer. */
    http_response response;
    /** @brief True if the request was sent to a backend server. */
    bool reached_server{};
    /** @brief When a refused call would probably be taken, if the gate can tell. */
    std::optional<std::chrono::milliseconds> retry_after{};
    /** @brief Load of the backend server, if its gate answered. */
    std::optional<gate_load> load{};

    /** @return A call that was not run. */
    [[nodiscard]] static call_response not_run(call_refusal refusal, std::string reason)
    {
        return {call_result::not_run, refusal, std::move(reason), {}};
    }

    /** @return A call that may have been run. */
    [[nodiscard]] static call_response unknown(std::string reason)
    {
        return {call_result::unknown, call_refusal::none, std::move(reason), {}, true};
    }
};

} // namespace savorywheel

#endif
