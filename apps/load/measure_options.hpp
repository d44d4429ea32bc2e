#ifndef SAVORYWHEEL_APPS_LOAD_MEASURE_OPTIONS_HPP
#define SAVORYWHEEL_APPS_LOAD_MEASURE_OPTIONS_HPP

#include <cstddef>
#include <cstdint>
#include <string>

namespace savorywheel::load {

/** @brief Options of a benchmark run. */
struct measure_options {
    /** @brief Name of the deployment, "frigoporto" or "kaldmaa". */
    std::string deployment{"frigoporto"};
    /** @brief Number of nodes; zero for that of the deployment. */
    std::size_t nodes{};
    /** @brief Length of the load window and of the idle window. */
    unsigned seconds{30};
    /** @brief Timeout for the dissemination of membership updates. */
    unsigned settle_seconds{120};
    /** @brief Output folder for results, settings and logs. */
    std::string out{"measure-out"};
    /** @brief Rounds of one mesh phase and one baseline phase each. */
    unsigned rounds{5};
    /** @brief Configuration changes per phase of a round. */
    unsigned changes{5};
    /** @brief Rounds that roll out one good and one faulty version; zero skips them. */
    unsigned moves{5};
    /** @brief Requests per second, direct ones included. */
    double per_second{200.0};
    /** @brief Additional services without backend servers, to enlarge the configuration. */
    std::size_t extra_services{};
    /** @brief One-way delay between regions in milliseconds. */
    unsigned region_delay_ms{20};
    /** @brief Second octet of all IP addresses, 1 to 254. */
    unsigned network{90};
    /** @brief Port of the nodes' traffic; other ports are offsets from it. */
    std::uint16_t port_base{12000};
    /** @brief Folder of the executables. */
    std::string programs;
};

} // namespace savorywheel::load

#endif
