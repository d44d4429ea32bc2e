#ifndef SAVORYWHEEL_ROUTING_ROUTING_TABLE_BUILDER_HPP
#define SAVORYWHEEL_ROUTING_ROUTING_TABLE_BUILDER_HPP

#include <savorywheel/config/mesh_state.hpp>
#include <savorywheel/membership/member_table.hpp>
#include <savorywheel/routing/routing_table.hpp>

#include <cstdint>
#include <map>
#include <memory>

namespace savorywheel {

/** @brief Compiles routing tables from the accepted configuration and the member table. */
class routing_table_builder {
public:
    /** @brief Sets the configuration to compile. */
    void set_state(const mesh_state& state);

    /**
     * @brief Compiles a table; routes of services with unchanged state and members are reused.
     * @param members Member table; dead members and those without a serving or warming backend
     * server are skipped.
     */
    [[nodiscard]] std::shared_ptr<const routing_table> build(const member_table& members);

private:
    struct compiled_service {
        std::uint64_t revision{};
        std::shared_ptr<const service_routes> routes;
    };

    [[nodiscard]] std::shared_ptr<const service_routes>
    routes_of(const service_name& name, const std::shared_ptr<const service_state>& service,
              const member_table& members);

    mesh_state state_;
    std::shared_ptr<const host_table> hosts_{std::make_shared<const host_table>()};
    std::shared_ptr<const tenant_table> tenants_;
    std::map<service_name, compiled_service> compiled_;
};

} // namespace savorywheel

#endif
