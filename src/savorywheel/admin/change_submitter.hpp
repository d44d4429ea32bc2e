#ifndef SAVORYWHEEL_ADMIN_CHANGE_SUBMITTER_HPP
#define SAVORYWHEEL_ADMIN_CHANGE_SUBMITTER_HPP

#include <savorywheel/admin/change_metadata.hpp>
#include <savorywheel/admin/change_report.hpp>
#include <savorywheel/admin/change_request.hpp>
#include <savorywheel/admin/configuration_source.hpp>
#include <savorywheel/admin/operation_record_store.hpp>
#include <savorywheel/core/clock.hpp>

#include <optional>

namespace savorywheel {

/**
 * @brief Appends one operator's change to the ordered log; an instance is used for one change.
 *
 * The operation record is written before each attempt to append. Settling an operation ends it by a
 * conditional update of that record, which makes the next attempt here fail.
 */
class change_submitter {
public:
    /**
     * @param time Must outlive the submitter.
     * @param store The platform's store; must outlive the submitter.
     * @param source Provides the newest accepted state; must outlive the submitter.
     */
    change_submitter(const clock& time, object_store& store, configuration_source& source) noexcept
        : time_{time}, store_{store}, source_{source}, records_{store}
    {
    }

    /**
     * @brief Submits a change.
     * @param request The change.
     * @param metadata Author, operation and base version.
     * @return Outcome; std::nullopt if the operation already has a record and must be settled
     * instead.
     */
    [[nodiscard]] std::optional<change_report> submit(const change_request& request,
                                                      const change_metadata& metadata);

private:
    /** Result of one step: a report ends the submission, std::nullopt continues it. */
    using step_result = std::optional<change_report>;

    [[nodiscard]] step_result attempt(const change_request& request,
                                      const change_metadata& metadata);
    [[nodiscard]] step_result record(const commit& change);
    [[nodiscard]] step_result append(const commit& change);
    [[nodiscard]] change_report accept(config_version version, std::string reason);
    [[nodiscard]] change_report refuse(std::string reason, const findings& faults = {});
    [[nodiscard]] change_report make_report(operation_status status, config_version version,
                                            std::string reason) const;

    const clock& time_;
    object_store& store_;
    configuration_source& source_;
    operation_record_store records_;
    operation_id operation_;
    std::optional<operation_record_store::entry> entry_;
    bool record_conflict_{};
};

} // namespace savorywheel

#endif
