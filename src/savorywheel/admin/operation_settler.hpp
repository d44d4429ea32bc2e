#ifndef SAVORYWHEEL_ADMIN_OPERATION_SETTLER_HPP
#define SAVORYWHEEL_ADMIN_OPERATION_SETTLER_HPP

#include <savorywheel/admin/change_report.hpp>
#include <savorywheel/admin/configuration_source.hpp>
#include <savorywheel/admin/operation_record_store.hpp>

#include <optional>

namespace savorywheel {

/** @brief Finds out what became of an operation, on any node, and ends it for good. */
class operation_settler {
public:
    /**
     * @param store The platform's service; must outlive the settler.
     * @param source Newest accepted state; must outlive the settler.
     */
    operation_settler(object_store& store, configuration_source& source) noexcept
        : store_{store}, source_{source}, records_{store}
    {
    }

    /**
     * @brief Settles an operation.
     *
     * A commit whose write may have been lost is created again at the same key, which is
     * idempotent. An operation without a record is refused for good.
     * @param operation The operation.
     * @return Accepted or refused; unknown if the store does not answer, so that the operation can
     * be settled later.
     */
    [[nodiscard]] change_report settle(const operation_id& operation);

private:
    [[nodiscard]] std::optional<change_report> attempt(const operation_id& operation);
    [[nodiscard]] std::optional<change_report> refuse_unrecorded(const operation_id& operation);
    [[nodiscard]] std::optional<change_report> complete(const operation_record_store::entry& entry);
    [[nodiscard]] outcome<bool> ensure_in_log(const commit& change);

    object_store& store_;
    configuration_source& source_;
    operation_record_store records_;
};

} // namespace savorywheel

#endif
