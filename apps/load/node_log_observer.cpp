#include <load/node_log_observer.hpp>

#include <algorithm>

namespace savorywheel::load {

node_log_observer::node_log_observer(const bench_mesh& mesh)
{
    for (std::size_t i = 0; i < mesh.members().size(); ++i) {
        files_.push_back(std::make_unique<std::ifstream>(mesh.node_log(i)));
        followers_.emplace_back(*files_.back());
    }
}

std::optional<calendar_time> node_log_observer::converged_at(config_version version)
{
    calendar_time latest{};
    for (auto& follower : followers_) {
        follower.read_new();
        const auto at = follower.in_force_at(version);
        if (!at) {
            return std::nullopt;
        }
        latest = std::max(latest, *at);
    }
    return latest;
}

} // namespace savorywheel::load
