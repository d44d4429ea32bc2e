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

/** @brief Turns operators' changes into commits. Thread-safe; calls block on the store. */
class change_service {
public:
    /** @brief Dependencies of the service; all must outlive it. */
    struct environment {
        const clock& time;
        /** @brief Source of operation ids. */
        random_source& random;
        /** @brief The platform's store. */
        object_store& store;
        /** @brief Access to the control thread. */
        node_control& control;
    };

    explicit change_service(environment env) noexcept
        : environment_{env}, source_{env.control, env.store}, archive_{env.store}
    {
    }

    /**
     * @brief Applies a configuration text.
     * @param text YAML text.
     * @param metadata Author, operation and base version; an empty operation is replaced by a new
     * id.
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

    /** @return Outcome of an operation; unknown if it could not be determined. */
    [[nodiscard]] change_report settle(const operation_id& operation);

    /**
     * @brief Reports the effects of applying a configuration text, without applying it.
     * @param text YAML text.
     * @param base_version Version on which the author based the text, if known.
     */
    [[nodiscard]] outcome<diff_report> preview(std::string_view text,
                                               std::optional<config_version> base_version);

    /** @return The text applied last; not_found if there is none. */
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
