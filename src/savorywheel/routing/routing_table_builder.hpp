#ifndef SAVORYWHEEL_ROUTING_ROUTING_TABLE_BUILDER_HPP
#define SAVORYWHEEL_ROUTING_ROUTING_TABLE_BUILDER_HPP

#include <savorywheel/config/mesh_state.hpp>
#include <savorywheel/membership/member_table.hpp>
#include <savorywheel/routing/routing_table.hpp>

#include <memory>

namespace savorywheel {

/** @brief Compiles routing tables from the accepted configuration and the members. */
class routing_table_builder {
public:
    /** @brief Sets the configuration; services that did not change keep their routes. */
    void set_state(const mesh_state& state) { state_ = state; }

    /**
     * @brief Compiles a table.
     * @param members Known members; dead ones and those without a serving backend are left out.
     * @return The table.
     */
    [[nodiscard]] std::shared_ptr<const routing_table> build(const member_table& members) const;

private:
    mesh_state state_;
};

} // namespace savorywheel

#endif
