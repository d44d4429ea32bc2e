#include <savorywheel/distribution/floor_table.hpp>

#include <algorithm>

namespace savorywheel {

void floor_table::put(const node_id& node, config_version version)
{
    const auto found = floors_.find(node);
    if (found != floors_.end()) {
        found->second.version = std::max(found->second.version, version);
        by_age_.splice(by_age_.end(), by_age_, found->second.place);
        return;
    }
    if (floors_.size() >= max_kept_floors) {
        floors_.erase(by_age_.front());
        by_age_.pop_front();
    }
    const auto place = by_age_.insert(by_age_.end(), node);
    floors_.emplace(node, entry{version, place});
}

config_version floor_table::find(const node_id& node) const
{
    const auto found = floors_.find(node);
    return found == floors_.end() ? config_version{} : found->second.version;
}

} // namespace savorywheel
