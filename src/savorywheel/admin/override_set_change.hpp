#ifndef SAVORYWHEEL_ADMIN_OVERRIDE_SET_CHANGE_HPP
#define SAVORYWHEEL_ADMIN_OVERRIDE_SET_CHANGE_HPP

#include <savorywheel/admin/change_metadata.hpp>
#include <savorywheel/admin/change_request.hpp>
#include <savorywheel/admin/override_request.hpp>

namespace savorywheel {

/** @brief Change that sets an override. */
class override_set_change final : public change_request {
public:
    /**
     * @param service Service of the override.
     * @param desired Body of the operator's request.
     * @param metadata Author, operation and base version.
     */
    override_set_change(service_name service, override_request desired, change_metadata metadata);

    [[nodiscard]] outcome<commit> plan(const mesh_state& state, calendar_time now,
                                       findings& report) const override;

private:
    service_name service_;
    override_request desired_;
    change_metadata metadata_;
};

} // namespace savorywheel

#endif
