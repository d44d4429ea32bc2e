#ifndef SAVORYWHEEL_TEST_NODE_QUOTA_MESH_HPP
#define SAVORYWHEEL_TEST_NODE_QUOTA_MESH_HPP

#include <savorywheel/core/seeded_random.hpp>
#include <savorywheel/node/quota_service.hpp>
#include <savorywheel/quota/shared_quota.hpp>

#include <standin/platform/in_memory_object_store.hpp>
#include <support/manual_clock.hpp>
#include <support/recording_event_log.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace savorywheel::test {

class quota_mesh_node;

/** @brief Outcomes of the requests of a tenant. */
struct quota_results {
    std::vector<duration> accepted;
    std::size_t refused{};
    std::size_t unknown{};
    /** @brief Requests beyond one decision each. */
    std::size_t undecided{};
};

/**
 * @brief Nodes with the quotas of tenants, an object store, and a network that delays and loses
 * datagrams, all on one thread and a manual clock.
 */
class quota_mesh {
public:
    /** @param tenants Tenants of the configuration. */
    quota_mesh(std::size_t nodes, const std::vector<tenant_spec>& tenants);
    quota_mesh(const quota_mesh&) = delete;
    quota_mesh& operator=(const quota_mesh&) = delete;
    quota_mesh(quota_mesh&&) = delete;
    quota_mesh& operator=(quota_mesh&&) = delete;
    ~quota_mesh();

    /** @brief Advances the time in steps of 10 ms. */
    void advance(duration length);

    /** @brief Lets a tenant's requests arrive at nodes at random while the time advances. */
    void add_traffic(std::size_t tenant, const std::vector<std::size_t>& nodes, double per_second);

    void clear_traffic() { traffic_.clear(); }

    /** @brief Sends one request of a tenant to a node. */
    void call(std::size_t tenant, std::size_t node);

    /** @brief Cuts a node off from all others, and lets it reach them again. */
    void partition(std::size_t node, bool cut);

    /** @brief Ends a node without notice: it reaches neither the others nor the store. */
    void crash(std::size_t node);

    /** @brief Stops a node as planned: it releases its leases and leaves. */
    void stop(std::size_t node);

    /** @brief Makes the store unavailable to all nodes. */
    void set_store_available(bool available) { store_available_ = available; }

    void set_loss_percent(unsigned percent) { loss_percent_ = percent; }

    /** @return Nodes that coordinate a shard. */
    [[nodiscard]] std::set<std::size_t> coordinators() const;

    [[nodiscard]] quota_results& results(std::size_t tenant) { return results_[tenant]; }

    /** @return Most accepted requests in a window beyond the bound; at most zero if it holds. */
    [[nodiscard]] double worst_excess(std::size_t tenant) const;

    /** @return Shard of a tenant. */
    [[nodiscard]] std::uint32_t shard_of(std::size_t tenant) const;

    /** @return Events of all nodes. */
    [[nodiscard]] const recording_event_log& log() const noexcept { return log_; }

    [[nodiscard]] std::size_t datagrams() const noexcept { return datagrams_; }
    [[nodiscard]] std::size_t datagram_bytes() const noexcept { return datagram_bytes_; }
    [[nodiscard]] std::size_t store_calls() const noexcept { return store_calls_; }

private:
    friend class quota_mesh_node;

    struct traffic {
        std::size_t tenant{};
        std::vector<std::size_t> nodes;
        double per_second{};
        double due{};
    };

    struct datagram {
        duration due{};
        std::size_t sender{};
        std::size_t receiver{};
        std::vector<std::byte> payload;
    };

    void send(std::size_t sender, const network_endpoint& peer, std::span<const std::byte> payload);
    void deliver();
    void run_traffic(duration length);
    [[nodiscard]] const tenant_entry& entry(std::size_t tenant) const;

    manual_clock time_;
    control_loop loop_{time_};
    seeded_random random_{20261207};
    recording_event_log log_;
    quota_settings settings_;
    routing_table_holder tables_;
    member_table members_;
    standin::in_memory_object_store store_;
    std::atomic<bool> store_available_{true};
    std::atomic<std::size_t> store_calls_{};
    unsigned loss_percent_{};
    std::size_t datagrams_{};
    std::size_t datagram_bytes_{};
    std::deque<datagram> network_;
    std::vector<traffic> traffic_;
    std::map<std::size_t, quota_results> results_;
    std::vector<std::unique_ptr<quota_mesh_node>> nodes_;
};

} // namespace savorywheel::test

#endif
