#ifndef SAVORYWHEEL_ADMIN_CONFIGURATION_SOURCE_HPP
#define SAVORYWHEEL_ADMIN_CONFIGURATION_SOURCE_HPP

#include <savorywheel/admin/node_control.hpp>
#include <savorywheel/store/object_store.hpp>

namespace savorywheel {

/** @brief Gives the newest accepted state: that of the node, and what the store has after it. */
class configuration_source {
public:
    /**
     * @param control State of the node; must outlive the source.
     * @param store The platform's service; must outlive the source.
     */
    configuration_source(node_control& control, object_store& store) noexcept
        : control_{control}, store_{store}
    {
    }

    /** @return The newest state; the reason if the node or the store does not answer. */
    [[nodiscard]] outcome<mesh_state> latest();

    /** @brief Hands an accepted commit to the node, so that it spreads at once. */
    void publish_commit(const commit& change) { control_.publish_commit(change); }

private:
    node_control& control_;
    object_store& store_;
};

} // namespace savorywheel

#endif
