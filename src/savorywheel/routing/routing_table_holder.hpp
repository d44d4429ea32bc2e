#ifndef SAVORYWHEEL_ROUTING_ROUTING_TABLE_HOLDER_HPP
#define SAVORYWHEEL_ROUTING_ROUTING_TABLE_HOLDER_HPP

#include <savorywheel/routing/routing_table.hpp>
#include <savorywheel/routing/routing_table_listener.hpp>

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
    bool publish(const std::shared_ptr<const routing_table>& table)
    {
        {
            const std::scoped_lock lock{mutex_};
            if (table->version() < table_->version()) {
                return false;
            }
            table_ = table;
        }
        if (listener_ != nullptr) {
            listener_->on_table(*table);
        }
        return true;
    }

    /** @brief Sets the receiver of later tables; call before the control thread starts. */
    void set_listener(routing_table_listener& listener) noexcept { listener_ = &listener; }

    /** @return The current table; never nullptr. */
    [[nodiscard]] std::shared_ptr<const routing_table> current() const
    {
        const std::scoped_lock lock{mutex_};
        return table_;
    }

private:
    mutable std::mutex mutex_;
    routing_table_listener* listener_{};
    std::shared_ptr<const routing_table> table_{std::make_shared<const routing_table>()};
};

} // namespace savorywheel

#endif
