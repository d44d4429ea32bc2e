#include <savorywheel/quota/coordinator_choice.hpp>
#include <savorywheel/quota/quota_coordinator.hpp>

#include <algorithm>

namespace savorywheel {

namespace {

/** How late a node notices that it has become a candidate, besides the renewal of the lease. */
constexpr std::chrono::milliseconds maintenance_period{500};

} // namespace

quota_coordinator::quota_coordinator(const quota_settings& settings, const lease_record& self,
                                     environment env)
    : settings_{settings}, environment_{std::move(env)}
{
    for (std::uint32_t shard = 0; shard < settings.shards; ++shard) {
        shards_.push_back(std::make_unique<shard_coordinator>(shard, self, environment_.shards));
    }
}

void quota_coordinator::start()
{
    running_ = true;
    timer_ =
        environment_.shards.leases.loop.timers().every(maintenance_period, [this] { maintain(); });
}

void quota_coordinator::stop()
{
    running_ = false;
    timer_.reset();
    for (const auto& shard : shards_) {
        shard->stop();
    }
}

std::optional<quota_grant> quota_coordinator::answer(const quota_request& request)
{
    if (!running_ || request.shard >= shards_.size() || !refresh_tenants()) {
        return std::nullopt;
    }
    auto& shard = *shards_[request.shard];
    static const tenant_limits none;
    return shard.answer(request, shard.coordinates() ? limits() : none);
}

void quota_coordinator::maintain()
{
    const bool enabled = refresh_tenants();
    std::size_t coordinated = 0;
    for (std::uint32_t i = 0; i < shards_.size(); ++i) {
        auto& shard = *shards_[i];
        if (!enabled) {
            shard.stop();
            continue;
        }
        shard.compete(is_coordinator_candidate(i, environment_.self(), environment_.members()));
        shard.maintain();
        coordinated += shard.coordinates() ? 1 : 0;
    }
    environment_.metrics.set_coordinated(coordinated);
}

bool quota_coordinator::refresh_tenants()
{
    const auto present = environment_.tables.current()->tenants();
    if (present != tenants_) {
        tenants_ = present;
        limits_.reset();
        has_limits_ = tenants_ && std::ranges::any_of(tenants_->entries(), [](const auto& tenant) {
                          return tenant.rate_per_s > 0;
                      });
    }
    return has_limits_;
}

const tenant_limits& quota_coordinator::limits()
{
    if (!limits_) {
        limits_.emplace(settings_, tenants_->entries());
    }
    return *limits_;
}

} // namespace savorywheel
