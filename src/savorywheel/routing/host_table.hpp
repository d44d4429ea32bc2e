#ifndef SAVORYWHEEL_ROUTING_HOST_TABLE_HPP
#define SAVORYWHEEL_ROUTING_HOST_TABLE_HPP

#include <savorywheel/config/mesh_state.hpp>
#include <savorywheel/routing/host_name_less.hpp>

#include <cstddef>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace savorywheel {

/**
 * @brief Matches requests to routes by host and path prefix; immutable.
 *
 * Hosts match without regard to case, port and a trailing dot (RFC 9110, section 4.2.3). Paths are
 * compared as written: a server may treat percent-encoded characters differently, and a node that
 * decoded them would route by another path than the one it forwards.
 */
class host_table {
public:
    /** @brief Creates a table without routes. */
    host_table() = default;

    /** @param hosts Virtual hosts with their routes. */
    explicit host_table(std::span<const virtual_host> hosts);

    /** @brief Creates a table with one host per service, named after the service. */
    explicit host_table(const mesh_state::service_map& services);

    /**
     * @param host Value of the Host header field, with or without a port.
     * @param target Request path, with or without a query.
     * @return The route with the longest matching path prefix; nullptr if none matches.
     */
    [[nodiscard]] const host_route* match(std::string_view host, std::string_view target) const;

    /**
     * @param host Value of the Host header field, with or without a port.
     * @return Number of routes of the host; 0 if the host is unknown.
     */
    [[nodiscard]] std::size_t routes_of(std::string_view host) const;

private:
    [[nodiscard]] const std::vector<host_route>* find(std::string_view host) const;

    std::map<std::string, std::vector<host_route>, host_name_less> routes_;
};

} // namespace savorywheel

#endif
