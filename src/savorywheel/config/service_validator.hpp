#ifndef SAVORYWHEEL_CONFIG_SERVICE_VALIDATOR_HPP
#define SAVORYWHEEL_CONFIG_SERVICE_VALIDATOR_HPP

#include <savorywheel/config/position_index.hpp>
#include <savorywheel/config/service_spec.hpp>
#include <savorywheel/core/clock.hpp>
#include <savorywheel/core/findings.hpp>

#include <chrono>
#include <cstddef>
#include <string>

namespace savorywheel {

/** @brief Maximum deadline of a route. */
inline constexpr std::chrono::milliseconds max_route_deadline{600'000};

/** @brief Maximum length of a route's path, in bytes. */
inline constexpr std::size_t max_route_path_bytes = 1024;

/** @brief Checks one service of a configuration text independently of the others. */
class service_validator {
public:
    /**
     * @param service Service to check; must outlive the validator.
     * @param path Key of the service in @p positions, such as "services/0"; not a URL path.
     * @param positions Positions of the parts of the text; must outlive the validator.
     * @param report Receives errors; must outlive the validator.
     */
    service_validator(const service_spec& service, std::string path,
                      const position_index& positions, findings& report);

    /** @brief Checks the routes and the services that they call. */
    void check_routes() const;

    /** @brief Checks the names and weights of the versions. */
    void check_versions() const;

    /** @brief Checks that the deadline for the weights, key "by" in the text, lies after `now`. */
    void check_due_time(calendar_time now) const;

private:
    /** @param path Key of the route in the position index; `route.path` is its URL path. */
    void check_route(const route_spec& route, const std::string& path) const;
    /** Checks that the route calls only dependencies of the service, and each of them once. */
    void check_called_services(const route_spec& route, const std::string& path) const;

    const service_spec& service_;
    std::string position_path_;
    const position_index& positions_;
    findings& report_;
};

} // namespace savorywheel

#endif
