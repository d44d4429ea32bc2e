#include <savorywheel/distribution/commit_log.hpp>

#include <utility>

namespace savorywheel {

outcome<bool> commit_log::take(const commit_batch_message& batch)
{
    auto next = state_;
    auto kept = commits_;
    if (batch.base && batch.base->version > next.version()) {
        next = mesh_state{batch.base->version, batch.base->domains, batch.base->services};
        kept.clear();
    }
    for (const auto& item : batch.commits) {
        if (item.version <= next.version()) {
            continue;
        }
        auto applied = next.apply(item);
        if (!applied) {
            return applied.reason();
        }
        next = std::move(*applied);
        kept.push_back(item);
    }
    if (next.version() == state_.version()) {
        return false;
    }
    while (kept.size() > kept_commits) {
        kept.pop_front();
    }
    state_ = std::move(next);
    commits_ = std::move(kept);
    return true;
}

commit_batch_message commit_log::batch_after(config_version version) const
{
    commit_batch_message batch;
    if (version >= state_.version()) {
        return batch;
    }
    if (commits_.empty() || commits_.front().version > version.next()) {
        batch.base = make_checkpoint();
        return batch;
    }
    for (const auto& item : commits_) {
        if (item.version > version) {
            batch.commits.push_back(item);
        }
    }
    return batch;
}

checkpoint commit_log::make_checkpoint() const
{
    checkpoint point;
    point.version = state_.version();
    point.domains.assign(state_.domains().begin(), state_.domains().end());
    for (const auto& [name, service] : state_.services()) {
        point.services.push_back(*service);
    }
    return point;
}

} // namespace savorywheel
