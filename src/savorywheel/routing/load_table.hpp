#ifndef SAVORYWHEEL_ROUTING_LOAD_TABLE_HPP
#define SAVORYWHEEL_ROUTING_LOAD_TABLE_HPP

#include <savorywheel/core/names.hpp>

#include <cstdint>
#include <map>
#include <mutex>

namespace savorywheel {

/** @brief Calls that this node has outstanding at each endpoint; any thread may use it. */
class load_table {
public:
    /** @brief Counts a call that begins. */
    void begin(const node_id& endpoint)
    {
        const std::scoped_lock lock{mutex_};
        ++outstanding_[endpoint];
    }

    /** @brief Counts a call that ended. */
    void end(const node_id& endpoint)
    {
        const std::scoped_lock lock{mutex_};
        const auto found = outstanding_.find(endpoint);
        if (found != outstanding_.end() && --found->second == 0) {
            outstanding_.erase(found);
        }
    }

    /** @return Calls outstanding at the endpoint. */
    [[nodiscard]] std::uint32_t outstanding(const node_id& endpoint) const
    {
        const std::scoped_lock lock{mutex_};
        const auto found = outstanding_.find(endpoint);
        return found == outstanding_.end() ? 0 : found->second;
    }

private:
    mutable std::mutex mutex_;
    std::map<node_id, std::uint32_t> outstanding_;
};

} // namespace savorywheel

#endif
