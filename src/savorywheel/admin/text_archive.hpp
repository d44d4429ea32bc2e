#ifndef SAVORYWHEEL_ADMIN_TEXT_ARCHIVE_HPP
#define SAVORYWHEEL_ADMIN_TEXT_ARCHIVE_HPP

#include <savorywheel/admin/archived_text.hpp>
#include <savorywheel/core/outcome.hpp>
#include <savorywheel/store/object_store.hpp>

#include <string>
#include <string_view>

namespace savorywheel {

/** @brief Keeps the operators' text that was applied last in the platform's service. */
class text_archive {
public:
    /** @param store The platform's service; must outlive the archive. */
    explicit text_archive(object_store& store) noexcept : store_{store} {}

    /**
     * @brief Keeps a text before its commit is written.
     * @param operation Operation that applies it.
     * @param text The text.
     * @return As object_store::create().
     */
    [[nodiscard]] outcome<std::uint64_t> save(const operation_id& operation, std::string_view text);

    /** @brief Drops a text that was not applied; a failure leaves an unused object behind. */
    void erase(const operation_id& operation);

    /**
     * @brief Makes a text the one that was applied last, unless a later one is; drops the other.
     * @param applied Operation and version of the text.
     */
    void set_last_applied(const archived_text& applied);

    /** @return Operation and version of the text that was applied last. */
    [[nodiscard]] outcome<archived_text> last_applied();

    /** @return The text of an operation; not_found if it is not kept. */
    [[nodiscard]] outcome<std::string> read(const operation_id& operation);

private:
    object_store& store_;
};

} // namespace savorywheel

#endif
