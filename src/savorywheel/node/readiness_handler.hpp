#ifndef SAVORYWHEEL_NODE_READINESS_HANDLER_HPP
#define SAVORYWHEEL_NODE_READINESS_HANDLER_HPP

#include <savorywheel/http/http_handler.hpp>
#include <savorywheel/routing/routing_table_holder.hpp>

#include <atomic>

namespace savorywheel {

/** @brief Tells whether the node should get new work from callers. */
class readiness_handler final : public http_handler {
public:
    /** @param tables Table in force; must outlive the handler. */
    explicit readiness_handler(const routing_table_holder& tables) noexcept : tables_{tables} {}

    /** @brief Makes the node count as not ready from now on. */
    void set_stopping() noexcept { stopping_ = true; }

    [[nodiscard]] http_response handle(const http_request& request) override;

private:
    const routing_table_holder& tables_;
    std::atomic<bool> stopping_{};
};

} // namespace savorywheel

#endif
