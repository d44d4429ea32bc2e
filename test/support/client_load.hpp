#ifndef SAVORYWHEEL_TEST_SUPPORT_CLIENT_LOAD_HPP
#define SAVORYWHEEL_TEST_SUPPORT_CLIENT_LOAD_HPP

#include <savorywheel/core/network_endpoint.hpp>

#include <support/client_plan.hpp>

#include <cstddef>
#include <vector>

namespace savorywheel::test {

/** @brief Clients that send the same bytes at the same time and keep their connections open. */
class client_load {
public:
    client_load(const network_endpoint& server, std::size_t clients, client_plan plan);
    client_load(const client_load&) = delete;
    client_load& operator=(const client_load&) = delete;
    client_load(client_load&&) = delete;
    client_load& operator=(client_load&&) = delete;
    ~client_load();

    /**
     * @brief Sends until each client has sent all, was closed, or is no longer read from.
     * @return False if the clients still made progress after a minute.
     */
    [[nodiscard]] bool run();

private:
    struct client {
        int socket{-1};
        /** Bytes of the plan that were sent. */
        std::size_t sent{};
    };

    /** Sends and reads what is possible; returns true if any byte was transferred. */
    [[nodiscard]] bool step(client& item) const;
    [[nodiscard]] bool send_some(client& item) const;

    client_plan plan_;
    std::vector<client> clients_;
};

} // namespace savorywheel::test

#endif
