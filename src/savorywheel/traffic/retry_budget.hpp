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
 * @brief Bounds the retries of each service to a share of its calls; any thread may use it.
 *
 * Nodes share the retries that may be saved up: each keeps its part of them, so that the whole mesh
 * stays within the bound without asking one another.
 */
class retry_budget {
public:
    /** @param limits Bounds for the whole mesh. */
    explicit retry_budget(retry_limits limits = {}) noexcept : limits_{limits} {}

    /** @brief Counts a first attempt, which earns a share of a retry. */
    void deposit(const service_name& service);

    /** @return True if a retry is allowed; it is then counted. */
    [[nodiscard]] bool try_withdraw(const service_name& service);

    /** @return Whole retries that are saved up for a service. */
    [[nodiscard]] std::uint64_t balance(const service_name& service);

    /** @brief Replaces the bounds. */
    void set_limits(retry_limits limits);

    /** @brief Sets how many nodes share the budget. */
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
