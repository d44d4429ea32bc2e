#ifndef SAVORYWHEEL_NODE_READINESS_HANDLER_HPP
#define SAVORYWHEEL_NODE_READINESS_HANDLER_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/http/http_handler.hpp>
#include <savorywheel/routing/routing_table_holder.hpp>

#include <atomic>

namespace savorywheel {

/**
 * @brief Answers readiness probes.
 *
 * After a start, a node receives the configuration before it discovers any backend server; requests
 * that arrive in between would fail.
 */
class readiness_handler final : public http_handler {
public:
    /**
     * @param tables Routing table in force; must outlive the handler.
     * @param time Clock; must outlive the handler.
     */
    readiness_handler(const routing_table_holder& tables, const clock& time) noexcept
        : tables_{tables}, time_{time}, created_{time.now()}
    {
    }

    /** @brief Reports the node as not ready from now on. */
    void set_stopping() noexcept { stopping_ = true; }

    [[nodiscard]] http_response handle(const http_request& request) override;

private:
    const routing_table_holder& tables_;
    const clock& time_;
    monotonic_time created_;
    std::atomic<bool> stopping_{};
};

} // namespace savorywheel

#endif
