#ifndef SAVORYWHEEL_ADMIN_CONFIGURATION_SOURCE_HPP
#define SAVORYWHEEL_ADMIN_CONFIGURATION_SOURCE_HPP

#include <savorywheel/admin/node_view.hpp>
#include <savorywheel/store/object_store.hpp>

namespace savorywheel {

/** @brief Provides the newest accepted state: that of the node plus later commits in the store. */
class configuration_source {
public:
    /**
     * @param view Access to the control thread; must outlive the source.
     * @param store The platform's store; must outlive the source.
     */
    configuration_source(node_view& view, object_store& store) noexcept : view_{view}, store_{store}
    {
    }

    /** @return The newest state; the reason if the node or the store does not respond. */
    [[nodiscard]] outcome<mesh_state> latest();

    /** @brief Passes an accepted commit to the node, which distributes it immediately. */
    void committed(const commit& change) { view_.committed(change); }

private:
    node_view& view_;
    object_store& store_;
};

} // namespace savorywheel

#endif
