#ifndef SAVORYWHEEL_ADMIN_CHANGE_SERVICE_HPP
#define SAVORYWHEEL_ADMIN_CHANGE_SERVICE_HPP

#include <savorywheel/admin/apply_report.hpp>
#include <savorywheel/admin/change_request.hpp>
#include <savorywheel/admin/change_ticket.hpp>
#include <savorywheel/admin/configuration_source.hpp>
#include <savorywheel/admin/diff_report.hpp>
#include <savorywheel/admin/node_view.hpp>
#include <savorywheel/admin/override_request.hpp>
#include <savorywheel/admin/text_archive.hpp>
#include <savorywheel/core/clock.hpp>
#include <savorywheel/core/random_source.hpp>
#include <savorywheel/store/object_store.hpp>

#include <string>
#include <string_view>

namespace savorywheel {

/** @brief Makes operators' changes into commits; any thread may call, and waits for the store. */
class change_service {
public:
    /** @brief What the service works with; all must outlive it. */
    struct environment {
        /** @brief Clock. */
        const clock& time;
        /** @brief Random numbers, for operation ids. */
        random_source& random;
        /** @brief The platform's service. */
        object_store& store;
        /** @brief State of the node. */
        node_view& view;
    };

    /** @param surroundings What the service works with. */
    explicit change_service(environment surroundings) noexcept
        : environment_{surroundings}, source_{surroundings.view, surroundings.store},
          archive_{surroundings.store}
    {
    }

    /**
     * @brief Applies an edited text.
     * @param text The operators' text.
     * @param ticket Who edited it; an empty operation is replaced by a new one.
     * @return What became of it.
     */
    [[nodiscard]] apply_report apply_text(std::string_view text, change_ticket ticket);

    /** @brief Sets an override; otherwise like apply_text(). */
    [[nodiscard]] apply_report set_override(const service_name& service,
                                            const override_request& wanted, change_ticket ticket);

    /** @brief Releases an override; otherwise like apply_text(). */
    [[nodiscard]] apply_report release_override(const service_name& service,
                                                const override_request& wanted,
                                                change_ticket ticket);

    /** @return What became of an operation; unknown only if the store does not answer. */
    [[nodiscard]] apply_report settle(const operation_id& operation);

    /**
     * @brief Tells what a text would change; changes nothing.
     * @param text The operators' text.
     * @param seen Version that its writer had seen; nothing if unknown.
     */
    [[nodiscard]] outcome<diff_report> inspect(std::string_view text,
                                               std::optional<config_version> seen);

    /** @return The text that was applied last; not_found if there is none. */
    [[nodiscard]] outcome<std::string> current_text();

private:
    [[nodiscard]] apply_report submit(const change_request& request, const change_ticket& ticket);
    [[nodiscard]] outcome<archived_text> find_current_text();
    [[nodiscard]] outcome<bool> keep_text(const operation_id& operation, std::string_view text);
    void finish_text(const apply_report& report);
    [[nodiscard]] operation_id make_operation();

    environment environment_;
    configuration_source source_;
    text_archive archive_;
};

} // namespace savorywheel

#endif
