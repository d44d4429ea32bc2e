#ifndef SAVORYWHEEL_ADMIN_CHANGE_SUBMITTER_HPP
#define SAVORYWHEEL_ADMIN_CHANGE_SUBMITTER_HPP

#include <savorywheel/admin/apply_report.hpp>
#include <savorywheel/admin/change_request.hpp>
#include <savorywheel/admin/change_ticket.hpp>
#include <savorywheel/admin/configuration_source.hpp>
#include <savorywheel/admin/operation_ledger.hpp>
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
        : time_{time}, store_{store}, source_{source}, ledger_{store}
    {
    }

    /**
     * @brief Submits a change.
     * @param request The change.
     * @param ticket Author, operation and base version.
     * @return Outcome; std::nullopt if the operation already has a record and must be settled
     * instead.
     */
    [[nodiscard]] std::optional<apply_report> submit(const change_request& request,
                                                     const change_ticket& ticket);

private:
    /** Result of one step: a report ends the submission, std::nullopt continues it. */
    using step = std::optional<apply_report>;

    [[nodiscard]] step attempt(const change_request& request, const change_ticket& ticket);
    [[nodiscard]] step record(const commit& change);
    [[nodiscard]] step append(const commit& change);
    [[nodiscard]] apply_report accept(config_version version, std::string reason);
    [[nodiscard]] apply_report refuse(std::string reason, const findings& faults = {});
    [[nodiscard]] apply_report make_report(operation_status status, config_version version,
                                           std::string reason) const;

    const clock& time_;
    object_store& store_;
    configuration_source& source_;
    operation_ledger ledger_;
    operation_id operation_;
    std::optional<operation_ledger::entry> entry_;
    bool repeated_{};
};

} // namespace savorywheel

#endif
