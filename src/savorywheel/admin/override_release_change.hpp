#ifndef SAVORYWHEEL_ADMIN_OVERRIDE_RELEASE_CHANGE_HPP
#define SAVORYWHEEL_ADMIN_OVERRIDE_RELEASE_CHANGE_HPP

#include <savorywheel/admin/change_request.hpp>
#include <savorywheel/admin/change_ticket.hpp>
#include <savorywheel/admin/override_request.hpp>

namespace savorywheel {

/** @brief Change that releases an override. */
class override_release_change final : public change_request {
public:
    /**
     * @param service Service of the override.
     * @param wanted Body of the operator's request.
     * @param ticket Author, operation and base version.
     */
    override_release_change(service_name service, override_request wanted, change_ticket ticket);

    [[nodiscard]] outcome<commit> plan(const mesh_state& state, calendar_time now,
                                       findings& report) const override;

private:
    service_name service_;
    override_request wanted_;
    change_ticket ticket_;
};

} // namespace savorywheel

#endif
