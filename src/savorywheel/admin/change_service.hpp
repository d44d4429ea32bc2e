#ifndef SAVORYWHEEL_ADMIN_CHANGE_SERVICE_HPP
#define SAVORYWHEEL_ADMIN_CHANGE_SERVICE_HPP

#include <savorywheel/admin/change_metadata.hpp>
#include <savorywheel/admin/change_report.hpp>
#include <savorywheel/admin/change_request.hpp>
#include <savorywheel/admin/configuration_source.hpp>
#include <savorywheel/admin/diff_report.hpp>
#include <savorywheel/admin/node_control.hpp>
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
        node_control& control;
    };

    /** @param env What the service works with. */
    explicit change_service(environment env) noexcept
        : environment_{env}, source_{env.control, env.store}, archive_{env.store}
    {
    }

    /**
     * @brief Applies an edited text.
     * @param text The operators' text.
     * @param metadata Who edited it; an empty operation is replaced by a new one.
     * @return What became of it.
     */
    [[nodiscard]] change_report apply_text(std::string_view text, change_metadata metadata);

    /** @brief Sets an override; otherwise like apply_text(). */
    [[nodiscard]] change_report set_override(const service_name& service,
                                             const override_request& desired,
                                             change_metadata metadata);

    /** @brief Releases an override; otherwise like apply_text(). */
    [[nodiscard]] change_report release_override(const service_name& service,
                                                 const override_request& desired,
                                                 change_metadata metadata);

    /** @return What became of an operation; unknown only if the store does not answer. */
    [[nodiscard]] change_report settle(const operation_id& operation);

    /**
     * @brief Tells what a text would change; changes nothing.
     * @param text The operators' text.
     * @param base_version Version that its writer had seen; nothing if unknown.
     */
    [[nodiscard]] outcome<diff_report> preview(std::string_view text,
                                               std::optional<config_version> base_version);

    /** @return The text that was applied last; not_found if there is none. */
    [[nodiscard]] outcome<std::string> current_text();

private:
    [[nodiscard]] change_report submit(const change_request& request,
                                       const change_metadata& metadata);
    [[nodiscard]] outcome<archived_text> find_current_text();
    [[nodiscard]] outcome<bool> store_text(const operation_id& operation, std::string_view text);
    void finalize_text(const change_report& report);
    [[nodiscard]] operation_id make_operation_id();

    environment environment_;
    configuration_source source_;
    text_archive archive_;
};

} // namespace savorywheel

#endif
