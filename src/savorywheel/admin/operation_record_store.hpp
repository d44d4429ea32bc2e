#ifndef SAVORYWHEEL_ADMIN_OPERATION_RECORD_STORE_HPP
#define SAVORYWHEEL_ADMIN_OPERATION_RECORD_STORE_HPP

#include <savorywheel/admin/operation_record.hpp>
#include <savorywheel/core/outcome.hpp>
#include <savorywheel/store/object_store.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace savorywheel {

/** @brief Prefix of the operation records' keys. */
inline constexpr std::string_view operation_prefix = "operations/";

/** @brief Operation records in the platform's service; conditional updates decide between nodes. */
class operation_record_store {
public:
    /** @brief A record and the revision at which it was read or written. */
    struct entry {
        /** @brief The record. */
        operation_record record;
        /** @brief Revision of its object. */
        std::uint64_t revision{};
    };

    /** @param store The platform's service; must outlive the ledger. */
    explicit operation_record_store(object_store& store) noexcept : store_{store} {}

    /** @return The record; not_found if there is none; malformed if it cannot be read. */
    [[nodiscard]] outcome<entry> read(const operation_id& operation);

    /**
     * @brief Adds the record of a new operation.
     * @return The entry; conflict if the operation has a record; unavailable if nothing was
     * written; unknown_outcome or timeout if that is not known.
     */
    [[nodiscard]] outcome<entry> add(operation_record record);

    /**
     * @brief Replaces a record.
     * @param old Entry to replace.
     * @param record New record.
     * @return As for add(); conflict if another node has replaced the record.
     */
    [[nodiscard]] outcome<entry> replace(const entry& old, operation_record record);

private:
    object_store& store_;
};

} // namespace savorywheel

#endif
