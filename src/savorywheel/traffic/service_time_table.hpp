#ifndef SAVORYWHEEL_TRAFFIC_SERVICE_TIME_TABLE_HPP
#define SAVORYWHEEL_TRAFFIC_SERVICE_TIME_TABLE_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/traffic/expected_service.hpp>
#include <savorywheel/traffic/service_time_distribution.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace savorywheel {

/**
 * @brief Service times of a backend server by route.
 *
 * The request types of one service may differ in cost by a factor of ten, so that one mean for all
 * of them predicts none. The routes with recent calls are kept, up to a fixed number, since a mesh
 * may have hundreds of routes of which few get calls.
 */
class service_time_table {
public:
    /** @brief Adds the service time of a finished call. */
    void record(std::string_view route, duration sample);

    /** @return What to expect of a call; the values of all routes while its route is not known. */
    [[nodiscard]] expected_service expect(std::string_view route) const;

    /** @return Number of routes kept. */
    [[nodiscard]] std::size_t size() const noexcept { return routes_.size(); }

private:
    struct entry {
        service_time_distribution times;
        std::uint64_t last_used{};
    };

    void remove_least_recent();

    std::map<std::string, entry, std::less<>> routes_;
    service_time_distribution all_;
    /** Moving average of the size of the call that a random unit of work belongs to. */
    duration size_by_work_{};
    duration mean_of_means_{};
    std::uint64_t uses_{};
};

} // namespace savorywheel

#endif
