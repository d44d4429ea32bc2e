#ifndef SAVORYWHEEL_ROUTING_ROUTING_TABLE_HOLDER_HPP
#define SAVORYWHEEL_ROUTING_ROUTING_TABLE_HOLDER_HPP

#include <savorywheel/routing/routing_table.hpp>

#include <memory>
#include <mutex>

namespace savorywheel {

/**
 * @brief Publishes the current table from the control thread to the traffic threads.
 *
 * The mutex protects only the copy of a pointer; std::atomic<std::shared_ptr> would spin.
 */
class routing_table_holder {
public:
    /**
     * @brief Replaces the current table, unless the new one has an older version.
     * @return True if the table was replaced.
     */
    bool publish(std::shared_ptr<const routing_table> table)
    {
        const std::scoped_lock lock{mutex_};
        if (table->version() < table_->version()) {
            return false;
        }
        table_ = std::move(table);
        return true;
    }

    /** @return The current table; never nullptr. */
    [[nodiscard]] std::shared_ptr<const routing_table> current() const
    {
        const std::scoped_lock lock{mutex_};
        return table_;
    }

private:
    mutable std::mutex mutex_;
    std::shared_ptr<const routing_table> table_{std::make_shared<const routing_table>()};
};

} // namespace savorywheel

#endif
