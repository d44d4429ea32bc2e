#ifndef SAVORYWHEEL_APPS_LOAD_MOVE_OBSERVATION_HPP
#define SAVORYWHEEL_APPS_LOAD_MOVE_OBSERVATION_HPP

#include <savorywheel/core/clock.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace savorywheel::load {

/** @brief One move of traffic under observation. */
struct move_observation {
    /** @brief Service. */
    std::string service;
    /** @brief Version that should carry the traffic. */
    std::string version;
    /** @brief True if that version fails. */
    bool bad{};
    /** @brief When it was asked for. */
    monotonic_time started_at;
    /** @brief When the version began to fail, if it does. */
    std::optional<monotonic_time> faulty_since;
    /** @brief When the move was seen as done. */
    std::optional<monotonic_time> done_at;
    /** @brief When the move was seen as withdrawn. */
    std::optional<monotonic_time> withdrawn_at;

    /** @brief Calls of the service that failed in that time. */
    std::uint64_t failed_calls{};

    /** @return True if the move has ended. */
    [[nodiscard]] bool ended() const noexcept { return done_at || withdrawn_at; }
};

} // namespace savorywheel::load

#endif
