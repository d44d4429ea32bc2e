#include <savorywheel/distribution/commit_log.hpp>

#include <utility>

namespace savorywheel {

apply_result commit_log::apply(const commit_batch_message& batch)
{
    apply_result result;
    if (batch.base && batch.base->version > state_.version()) {
        state_ = mesh_state{batch.base->version, batch.base->domains, batch.base->services,
                            batch.base->tenants};
        commits_.clear();
        result.advanced = true;
    }
    for (const auto& item : batch.commits) {
        if (item.version <= state_.version()) {
            continue;
        }
        auto applied = state_.apply(item);
        if (!applied) {
            result.fault = applied.reason();
            break;
        }
        state_ = std::move(*applied);
        commits_.push_back(item);
        result.advanced = true;
    }
    while (commits_.size() > max_retained_commits) {
        commits_.pop_front();
    }
    return result;
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
        if (item.version > version && batch.commits.size() < max_batch_commits) {
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
    if (state_.tenants()) {
        point.tenants = *state_.tenants();
    }
    return point;
}

} // namespace savorywheel
