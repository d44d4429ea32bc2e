#ifndef SAVORYWHEEL_APPS_LOAD_MOVE_OBSERVATION_HPP
#define SAVORYWHEEL_APPS_LOAD_MOVE_OBSERVATION_HPP

#include <savorywheel/core/clock.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace savorywheel::load {

/** @brief Observations of one move during a rollout trial. */
struct move_observation {
    std::string service;
    /** @brief Version that receives the traffic. */
    std::string version;
    /** @brief True if the version is made to fail. */
    bool bad{};
    /** @brief Time at which the configuration with the move was applied. */
    monotonic_time started_at;
    /** @brief Time at which the version began to fail. */
    std::optional<monotonic_time> faulty_since;
    /** @brief Time at which the status first reported the move as done. */
    std::optional<monotonic_time> done_at;
    /** @brief Time at which the status first reported the move as withdrawn. */
    std::optional<monotonic_time> withdrawn_at;

    /** @brief Failed calls of the service during the observation. */
    std::uint64_t failed_calls{};

    [[nodiscard]] bool ended() const noexcept { return done_at || withdrawn_at; }
};

} // namespace savorywheel::load

#endif
