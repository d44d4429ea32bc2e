#ifndef SAVORYWHEEL_TEST_NODE_QUOTA_MESH_NODE_HPP
#define SAVORYWHEEL_TEST_NODE_QUOTA_MESH_NODE_HPP

#include "quota_mesh.hpp"

#include <fmt/format.h>

namespace savorywheel::test {

/** @brief Runs the tasks of a traffic thread on the control loop. */
class loop_scheduler final : public scheduler {
public:
    explicit loop_scheduler(control_loop& loop) : loop_{loop} {}

    void post(task item) override { loop_.post(std::move(item)); }

    [[nodiscard]] subscription after(duration delay, task item) override
    {
        return loop_.timers().after(delay, std::move(item));
    }

private:
    control_loop& loop_;
};

/** @brief Access of one node to the store, which can be cut. */
class cuttable_store final : public object_store {
public:
    cuttable_store(object_store& store, const std::atomic<bool>& available,
                   std::atomic<std::size_t>& calls)
        : store_{store}, available_{available}, calls_{calls}
    {
    }

    outcome<stored_object> get(std::string_view key) override
    {
        return reaches() ? store_.get(key) : outcome<stored_object>{none()};
    }
    outcome<std::uint64_t> create(std::string_view key, std::string_view value) override
    {
        return reaches() ? store_.create(key, value) : outcome<std::uint64_t>{none()};
    }
    outcome<std::uint64_t> update(std::string_view key, std::string_view value,
                                  std::uint64_t expected) override
    {
        return reaches() ? store_.update(key, value, expected) : outcome<std::uint64_t>{none()};
    }
    outcome<std::uint64_t> remove(std::string_view key, std::uint64_t expected) override
    {
        return reaches() ? store_.remove(key, expected) : outcome<std::uint64_t>{none()};
    }
    outcome<object_list> list(std::string_view prefix, std::string_view after) override
    {
        return store_.list(prefix, after);
    }
    outcome<object_list> watch(std::string_view prefix, std::uint64_t after,
                               std::chrono::milliseconds max_wait) override
    {
        return store_.watch(prefix, after, max_wait);
    }

    std::atomic<bool> cut{};

private:
    bool reaches()
    {
        ++calls_;
        return available_ && !cut;
    }
    static failure none() { return {failure_code::unavailable, "cut"}; }

    object_store& store_;
    const std::atomic<bool>& available_;
    std::atomic<std::size_t>& calls_;
};

/** @brief One node of a quota_mesh. */
class quota_mesh_node final : public datagram_channel {
public:
    quota_mesh_node(quota_mesh& mesh, std::size_t index)
        : record{make_record(index)}, mesh_{mesh}, index_{index}, store{mesh.store_,
                                                                        mesh.store_available_,
                                                                        mesh.store_calls_}
    {
        quota.connect(service);
        service.start();
    }

    static member_record make_record(std::size_t index)
    {
        member_record record;
        record.id = node_id{fmt::format("n{:02}", index)};
        record.peer = {"10.0.0.1", static_cast<std::uint16_t>(7000 + index)};
        record.incarnation = 1;
        return record;
    }

    void send(const network_endpoint& peer, std::span<const std::byte> payload) override
    {
        mesh_.send(index_, peer, payload);
    }

    member_record record;

private:
    lease_record lease() const
    {
        lease_record self;
        self.holder = record.id;
        self.peer = record.peer;
        return self;
    }

    quota_mesh& mesh_;
    std::size_t index_;

public:
    cuttable_store store;
    bool partitioned{};
    metric_registry registry;
    quota_metrics metrics{registry, mesh_.time_};
    loop_scheduler scheduler{mesh_.loop_};
    shared_quota quota{mesh_.settings_.shards, {mesh_.time_, scheduler, metrics}};
    event_quota events{mesh_.loop_, 1000, 1'000'000};
    store_worker worker{store};
    quota_service service{mesh_.settings_,
                          lease(),
                          {mesh_.loop_,
                           events,
                           *this,
                           quota,
                           {{{mesh_.loop_, worker, mesh_.random_}, mesh_.log_},
                            [this]() -> const member_record& { return record; },
                            [this]() -> const member_table& { return mesh_.members_; },
                            mesh_.tables_,
                            metrics}}};
};

} // namespace savorywheel::test

#endif
