#include "quota_mesh.hpp"

#include "quota_mesh_node.hpp"

#include <algorithm>
#include <future>

namespace savorywheel::test {

namespace {

using namespace std::chrono_literals;

constexpr auto step = 10ms;
/** One-way latency of datagrams, as between regions. */
constexpr auto latency = 20ms;
/** Between rounds of store calls; each takes a few ms. */
constexpr auto store_period = 100ms;

std::shared_ptr<const routing_table> make_table(const std::vector<tenant_spec>& tenants)
{
    return std::make_shared<const routing_table>(
        config_version{1}, routing_table::route_map{}, std::make_shared<const host_table>(),
        config_version{1}, caller_limits{}, std::make_shared<const tenant_table>(tenants));
}

} // namespace

quota_mesh::quota_mesh(std::size_t nodes, const std::vector<tenant_spec>& tenants)
{
    tables_.publish(make_table(tenants));
    for (std::size_t i = 0; i < nodes; ++i) {
        members_.merge({quota_mesh_node::make_record(i), member_status::alive}, time_.now());
        nodes_.push_back(std::make_unique<quota_mesh_node>(*this, i));
    }
}

quota_mesh::~quota_mesh()
{
    // Running store calls refer to the leases.
    for (const auto& node : nodes_) {
        node->worker.stop();
    }
}

const tenant_entry& quota_mesh::entry(std::size_t tenant) const
{
    return tables_.current()->tenants()->entries()[tenant];
}

std::uint32_t quota_mesh::shard_of(std::size_t tenant) const
{
    return static_cast<std::uint32_t>(entry(tenant).id % settings_.shards);
}

void quota_mesh::advance(duration length)
{
    for (const auto end = time_.now() + length; time_.now() < end;) {
        time_.advance(step);
        deliver();
        run_traffic(step);
        loop_.run_pending();
        if (time_.now().time_since_epoch() % store_period == 0ms) {
            // A read, and the write that depends on it.
            for (int call = 0; call < 2; ++call) {
                for (const auto& node : nodes_) {
                    std::promise<void> done;
                    node->worker.submit([&done](object_store& /*store*/) { done.set_value(); });
                    done.get_future().wait();
                }
                loop_.run_pending();
            }
        }
    }
}

void quota_mesh::add_traffic(std::size_t tenant, const std::vector<std::size_t>& nodes,
                             double per_second)
{
    traffic_.push_back({tenant, nodes, per_second, 0});
}

void quota_mesh::run_traffic(duration length)
{
    for (auto& source : traffic_) {
        // Exponential intervals by a geometric number of arrivals in each step.
        source.due += source.per_second * std::chrono::duration<double>(length).count();
        constexpr std::uint64_t scale = 1'000'000;
        const auto expected = std::exchange(source.due, 0.0);
        constexpr int slices = 20;
        for (int i = 0; i < slices; ++i) {
            if (static_cast<double>(random_.below(scale)) < expected / slices * scale) {
                call(source.tenant, source.nodes[random_.below(source.nodes.size())]);
            }
        }
    }
}

void quota_mesh::call(std::size_t tenant, std::size_t node)
{
    auto& result = results_[tenant];
    auto& quota = nodes_[node]->quota;
    if (quota.try_acquire(entry(tenant))) {
        result.accepted.push_back(time_.since_boot());
        return;
    }
    ++result.undecided;
    quota.acquire(entry(tenant), [this, &result](const quota_decision& decision) {
        --result.undecided;
        switch (decision.outcome) {
        case quota_decision::result::granted:
            result.accepted.push_back(time_.since_boot());
            break;
        case quota_decision::result::exhausted:
            ++result.refused;
            break;
        case quota_decision::result::unknown:
            ++result.unknown;
            break;
        }
    });
}

void quota_mesh::send(std::size_t sender, const network_endpoint& peer,
                      std::span<const std::byte> payload)
{
    ++datagrams_;
    datagram_bytes_ += payload.size();
    if (payload.size() > max_datagram_bytes || random_.below(100) < loss_percent_) {
        return;
    }
    network_.push_back({time_.since_boot() + latency,
                        sender,
                        peer.port - 7000U,
                        {payload.begin(), payload.end()}});
}

void quota_mesh::deliver()
{
    while (!network_.empty() && network_.front().due <= time_.since_boot()) {
        const auto item = std::move(network_.front());
        network_.pop_front();
        if (!nodes_.at(item.sender)->partitioned && !nodes_.at(item.receiver)->partitioned) {
            static_cast<void>(nodes_[item.receiver]->service.on_datagram(item.payload));
        }
    }
}

void quota_mesh::partition(std::size_t node, bool cut)
{
    nodes_.at(node)->partitioned = cut;
}

void quota_mesh::crash(std::size_t node)
{
    auto& ended = *nodes_.at(node);
    ended.partitioned = true;
    ended.store.cut = true;
    members_.merge({ended.record, member_status::dead}, time_.now());
}

void quota_mesh::stop(std::size_t node)
{
    auto& leaving = *nodes_.at(node);
    leaving.service.stop();
    leaving.metrics.set_coordinated(0);
    members_.merge({leaving.record, member_status::dead}, time_.now());
}

std::set<std::size_t> quota_mesh::coordinators() const
{
    std::set<std::size_t> found;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        nodes_[i]->metrics.collect(nodes_[i]->registry);
        if (nodes_[i]->registry.gauge({"quota_coordinated_shards"}) > 0) {
            found.insert(i);
        }
    }
    return found;
}

double quota_mesh::worst_excess(std::size_t tenant) const
{
    const auto& limits = entry(tenant);
    const auto window = std::chrono::duration<double>(settings_.window).count();
    const double bound =
        (limits.rate_per_s * window + limits.burst) * (1 + settings_.over) + settings_.slack;
    const auto& accepted = results_.at(tenant).accepted;
    double worst = -bound;
    std::size_t first = 0;
    for (std::size_t last = 0; last < accepted.size(); ++last) {
        while (accepted[last] - accepted[first] > settings_.window) {
            ++first;
        }
        worst = std::max(worst, static_cast<double>(last - first + 1) - bound);
    }
    return worst;
}

} // namespace savorywheel::test
