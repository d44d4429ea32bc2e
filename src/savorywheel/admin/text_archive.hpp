#ifndef SAVORYWHEEL_ADMIN_TEXT_ARCHIVE_HPP
#define SAVORYWHEEL_ADMIN_TEXT_ARCHIVE_HPP

#include <savorywheel/admin/archived_text.hpp>
#include <savorywheel/core/outcome.hpp>
#include <savorywheel/store/object_store.hpp>

#include <string>
#include <string_view>

namespace savorywheel {

/** @brief Stores the configuration text that was applied last in the platform's store. */
class text_archive {
public:
    /** @param store The platform's store; must outlive the archive. */
    explicit text_archive(object_store& store) noexcept : store_{store} {}

    /**
     * @brief Stores a text; called before its commit is written.
     * @param operation Operation that applies the text.
     * @param text The text.
     * @return As for object_store::create().
     */
    [[nodiscard]] outcome<std::uint64_t> save(const operation_id& operation, std::string_view text);

    /** @brief Erases a text; on failure an unused object remains in the store. */
    void erase(const operation_id& operation);

    /**
     * @brief Records a text as the one applied last, unless a later one is recorded.
     *
     * Erases the older of the two texts.
     * @param applied Operation and version of the text.
     */
    void set_last_applied(const archived_text& applied);

    /** @return Operation and version of the text applied last; not_found if none is recorded. */
    [[nodiscard]] outcome<archived_text> last_applied();

    /** @return The text of an operation; not_found if it is not stored. */
    [[nodiscard]] outcome<std::string> read(const operation_id& operation);

private:
    object_store& store_;
};

} // namespace savorywheel

#endif
