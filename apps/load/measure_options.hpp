#ifndef SAVORYWHEEL_APPS_LOAD_MEASURE_OPTIONS_HPP
#define SAVORYWHEEL_APPS_LOAD_MEASURE_OPTIONS_HPP

#include <cstddef>
#include <cstdint>
#include <string>

namespace savorywheel::load {

/** @brief What a measurement covers. */
struct measure_options {
    /** @brief Deployment, "frigoporto" or "kaldmaa". */
    std::string deployment{"frigoporto"};
    /** @brief Nodes; zero for as many as the deployment has. */
    std::size_t nodes{};
    /** @brief Length of the load, and of the time without load. */
    unsigned seconds{30};
    /** @brief Longest wait until news about members has spread. */
    unsigned settle_seconds{120};
    /** @brief Folder of the results. */
    std::string out{"measure-out"};
    /** @brief Rounds in which the mesh and its baseline alternate. */
    unsigned rounds{5};
    /** @brief Changes of configuration in each half of a round. */
    unsigned changes{5};
    /** @brief Rounds in which one good and one bad version are rolled out; zero for none. */
    unsigned moves{5};
    /** @brief Requests in a second, direct ones included. */
    double per_second{200.0};
    /** @brief Services without backend servers, to make the configuration larger. */
    std::size_t extra_services{};
    /** @brief Time of one way between regions, in milliseconds. */
    unsigned region_delay_ms{20};
    /** @brief Second number of all IP numbers, from 1 to 254. */
    unsigned network{90};
    /** @brief First port. */
    std::uint16_t port_base{12000};
    /** @brief Folder of the programs. */
    std::string programs;
};

} // namespace savorywheel::load

#endif
