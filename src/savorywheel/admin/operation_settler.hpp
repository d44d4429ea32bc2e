#ifndef SAVORYWHEEL_ADMIN_OPERATION_SETTLER_HPP
#define SAVORYWHEEL_ADMIN_OPERATION_SETTLER_HPP

#include <savorywheel/admin/change_report.hpp>
#include <savorywheel/admin/configuration_source.hpp>
#include <savorywheel/admin/operation_record_store.hpp>

#include <optional>

namespace savorywheel {

/** @brief Determines the final outcome of an operation; works on any node. */
class operation_settler {
public:
    /**
     * @param store The platform's store; must outlive the settler.
     * @param source Provides the newest accepted state; must outlive the settler.
     */
    operation_settler(object_store& store, configuration_source& source) noexcept
        : store_{store}, source_{source}, records_{store}
    {
    }

    /**
     * @brief Settles an operation: determines its outcome and makes it final.
     *
     * A commit whose write may have been lost is written again at the same key, which is
     * idempotent. An operation without a record gets a record as refused, so that a delayed attempt
     * cannot execute it afterwards.
     * @return Accepted or refused; unknown if the outcome could not be determined, in which case
     * the call can be repeated.
     */
    [[nodiscard]] change_report settle(const operation_id& operation);

private:
    [[nodiscard]] std::optional<change_report> attempt(const operation_id& operation);
    /** Creates a record as refused for an operation without one. */
    [[nodiscard]] std::optional<change_report> refuse_unrecorded(const operation_id& operation);
    [[nodiscard]] std::optional<change_report> complete(const operation_record_store::entry& entry);
    /** Writes the commit if its version is still free; true if the log then contains it. */
    [[nodiscard]] outcome<bool> ensure_in_log(const commit& change);

    object_store& store_;
    configuration_source& source_;
    operation_record_store records_;
};

} // namespace savorywheel

#endif
