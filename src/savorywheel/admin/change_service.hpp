#ifndef SAVORYWHEEL_ADMIN_CHANGE_SERVICE_HPP
#define SAVORYWHEEL_ADMIN_CHANGE_SERVICE_HPP

#include <savorywheel/admin/apply_report.hpp>
#include <savorywheel/admin/node_view.hpp>
#include <savorywheel/core/clock.hpp>
#include <savorywheel/core/random_source.hpp>
#include <savorywheel/store/object_store.hpp>

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
    explicit change_service(environment surroundings) noexcept : environment_{surroundings} {}

    /**
     * @brief Applies an edited text.
     * @param text The operators' text.
     * @param author Who edited it.
     * @return What became of it.
     */
    [[nodiscard]] apply_report apply_text(std::string_view text, const author_name& author);

private:
    [[nodiscard]] outcome<mesh_state> latest_state();
    [[nodiscard]] operation_id make_operation();

    environment environment_;
};

} // namespace savorywheel

#endif
