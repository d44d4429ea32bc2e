#ifndef SAVORYWHEEL_ADMIN_CONFIGURATION_SOURCE_HPP
#define SAVORYWHEEL_ADMIN_CONFIGURATION_SOURCE_HPP

#include <savorywheel/admin/node_control.hpp>
#include <savorywheel/store/object_store.hpp>

namespace savorywheel {

/** @brief Provides the newest accepted state: that of the node plus later commits in the store. */
class configuration_source {
public:
    /**
     * @param control Access to the control thread; must outlive the source.
     * @param store The platform's store; must outlive the source.
     */
    configuration_source(node_control& control, object_store& store) noexcept
        : control_{control}, store_{store}
    {
    }

    /** @return The newest state; the reason if the node or the store does not respond. */
    [[nodiscard]] outcome<mesh_state> latest();

    /** @brief Passes an accepted commit to the node, which distributes it immediately. */
    void publish_commit(const commit& change) { control_.publish_commit(change); }

private:
    node_control& control_;
    object_store& store_;
};

} // namespace savorywheel

#endif
