#ifndef SAVORYWHEEL_ADMIN_OPERATION_RECORD_STORE_HPP
#define SAVORYWHEEL_ADMIN_OPERATION_RECORD_STORE_HPP

#include <savorywheel/admin/operation_record.hpp>
#include <savorywheel/core/outcome.hpp>
#include <savorywheel/store/object_store.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace savorywheel {

/** @brief Key prefix of operation records in the platform's store. */
inline constexpr std::string_view operation_prefix = "operations/";

/** @brief Operation records in the platform's store; conditional writes resolve races of nodes. */
class operation_record_store {
public:
    /** @brief Record with the revision of its object in the store. */
    struct entry {
        operation_record record;
        std::uint64_t revision{};
    };

    /** @param store The platform's store; must outlive this object. */
    explicit operation_record_store(object_store& store) noexcept : store_{store} {}

    /** @return The record; not_found if there is none; malformed if it cannot be decoded. */
    [[nodiscard]] outcome<entry> read(const operation_id& operation);

    /**
     * @brief Adds the record of a new operation.
     * @return The entry; conflict if the operation already has a record; unavailable if nothing was
     * written; unknown_outcome or timeout if the record may have been written.
     */
    [[nodiscard]] outcome<entry> add(operation_record record);

    /**
     * @brief Replaces a record if its revision is still that of `old`.
     * @return As for add(), but conflict if another node has replaced the record.
     */
    [[nodiscard]] outcome<entry> replace(const entry& old, operation_record record);

private:
    object_store& store_;
};

} // namespace savorywheel

#endif
