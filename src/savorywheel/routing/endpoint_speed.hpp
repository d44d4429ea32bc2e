#ifndef SAVORYWHEEL_ROUTING_ENDPOINT_SPEED_HPP
#define SAVORYWHEEL_ROUTING_ENDPOINT_SPEED_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/routing/decayed_mean.hpp>

#include <cstdint>

namespace savorywheel {

/**
 * @brief Learns how slow a backend server is, from the service times of own calls and from the mean
 * that its gate reports.
 *
 * The calls of one node are few, but each is compared with calls of its kind; the gate's mean
 * covers the calls of all nodes, but depends on what they are. Own calls are averaged as
 * logarithms, and the difference of a sample from the mean is bounded, since one call in 100 takes
 * three times as long.
 */
class endpoint_speed {
public:
    /**
     * @brief Records an own call.
     * @param actual Its service time.
     * @param typical Geometric mean of the service time of such calls at average speed.
     */
    void record(duration actual, duration typical) noexcept;

    /** @brief Sets the gate's mean service time relative to the mean of the gates of the service.
     */
    void set_reported(double ratio) noexcept;

    /** @return Service time relative to that of a backend server of average speed; 1 if unknown. */
    [[nodiscard]] double slowness() const noexcept { return slowness_; }

private:
    void update() noexcept;

    /** Less than a minute of the calls of one node to one of 36 backend servers; a fault that makes
     * a backend server three times as slow shows after a third of them. */
    static constexpr std::uint32_t window = 32;

    decayed_mean own_{window};
    double reported_{1.0};
    double slowness_{1.0};
};

} // namespace savorywheel

#endif
