#ifndef SAVORYWHEEL_TRAFFIC_RETRY_BUDGET_HPP
#define SAVORYWHEEL_TRAFFIC_RETRY_BUDGET_HPP

#include <savorywheel/core/names.hpp>
#include <savorywheel/traffic/retry_limits.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>

namespace savorywheel {

/**
 * @brief Token bucket that limits the retries of each service to a share of its calls; thread-safe.
 *
 * The maximum balance of the mesh is divided evenly between the nodes, so that the mesh stays
 * within the limit without coordination.
 */
class retry_budget {
public:
    /** @param limits Limits for the whole mesh. */
    explicit retry_budget(retry_limits limits = {}) noexcept : limits_{limits} {}

    /** @brief Counts a first attempt, which adds a fraction of a retry to the balance. */
    void deposit(const service_name& service);

    /** @return True if a retry is allowed; it is then deducted from the balance. */
    [[nodiscard]] bool try_withdraw(const service_name& service);

    /** @return Number of retries currently available to the service. */
    [[nodiscard]] std::uint64_t balance(const service_name& service);

    /** @brief Sets the limits for the whole mesh; reduces balances that exceed them. */
    void set_limits(retry_limits limits);

    /** @brief Sets the number of nodes that share the limits; reduces balances accordingly. */
    void set_nodes(std::size_t nodes);

private:
    void clamp_balances();
    [[nodiscard]] double& balance_of(const service_name& service);
    [[nodiscard]] double max_balance() const noexcept;

    retry_limits limits_;
    std::mutex mutex_;
    std::size_t nodes_{1};
    std::map<service_name, double> balances_;
};

} // namespace savorywheel

#endif
