#include <savorywheel/distribution/floor_table.hpp>

#include <algorithm>

namespace savorywheel {

void floor_table::put(const node_id& node, config_version version)
{
    const auto found = floors_.find(node);
    if (found != floors_.end()) {
        found->second.version = std::max(found->second.version, version);
        by_last_update_.splice(by_last_update_.end(), by_last_update_, found->second.position);
        return;
    }
    if (floors_.size() >= max_stored_floors) {
        floors_.erase(by_last_update_.front());
        by_last_update_.pop_front();
    }
    const auto position = by_last_update_.insert(by_last_update_.end(), node);
    floors_.emplace(node, entry{version, position});
}

config_version floor_table::find(const node_id& node) const
{
    const auto found = floors_.find(node);
    return found == floors_.end() ? config_version{} : found->second.version;
}

} // namespace savorywheel
