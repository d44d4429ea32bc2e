#ifndef SAVORYWHEEL_ADMIN_DIFFERENCE_FINDER_HPP
#define SAVORYWHEEL_ADMIN_DIFFERENCE_FINDER_HPP

#include <savorywheel/admin/diff_report.hpp>
#include <savorywheel/config/mesh_spec.hpp>
#include <savorywheel/config/mesh_state.hpp>

#include <span>

namespace savorywheel {

/** @brief Compares a parsed configuration text with an accepted state. */
class difference_finder {
public:
    /** @param state Accepted state; must outlive the finder. */
    explicit difference_finder(const mesh_state& state) noexcept : state_{state} {}

    /** @return Changes that the text would make; the list of findings is empty. */
    [[nodiscard]] diff_report compare(const mesh_spec& desired) const;

private:
    void compare_domains(std::span<const domain_spec> desired, diff_report& report) const;
    void compare_tenants(std::span<const tenant_spec> desired, diff_report& report) const;
    void compare_services(std::span<const service_spec> desired, diff_report& report) const;
    void find_removed(std::span<const service_spec> desired, diff_report& report) const;

    const mesh_state& state_;
};

} // namespace savorywheel

#endif
