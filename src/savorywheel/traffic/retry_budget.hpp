#ifndef SAVORYWHEEL_TRAFFIC_RETRY_BUDGET_HPP
#define SAVORYWHEEL_TRAFFIC_RETRY_BUDGET_HPP

#include <savorywheel/core/names.hpp>

#include <map>
#include <mutex>

namespace savorywheel {

/** @brief Bounds the retries of each service to a share of its calls; any thread may use it. */
class retry_budget {
public:
    /** @brief Counts a first attempt, which earns a share of a retry. */
    void earn(const service_name& service);

    /** @return True if a retry is allowed; it is then counted. */
    [[nodiscard]] bool spend(const service_name& service);

private:
    std::mutex mutex_;
    std::map<service_name, double> tokens_;
};

} // namespace savorywheel

#endif
