#include <savorywheel/admin/configuration_source.hpp>
#include <savorywheel/distribution/commit_writer.hpp>

namespace savorywheel {

outcome<mesh_state> configuration_source::latest()
{
    auto state = control_.configuration();
    if (!state) {
        return state;
    }
    const auto commits = commit_writer{store_}.read_after(state->version());
    if (!commits) {
        return commits.reason();
    }
    for (const auto& item : *commits) {
        state = state->apply(item);
        if (!state) {
            return state;
        }
    }
    return state;
}

} // namespace savorywheel
