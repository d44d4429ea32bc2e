#ifndef SAVORYWHEEL_NODE_ORDER_APPENDER_HPP
#define SAVORYWHEEL_NODE_ORDER_APPENDER_HPP

#include <savorywheel/core/control_loop.hpp>
#include <savorywheel/distribution/operator_documents.hpp>
#include <savorywheel/distribution/order_codec.hpp>
#include <savorywheel/rollout/commit_appender.hpp>
#include <savorywheel/store/store_worker.hpp>

#include <functional>

namespace savorywheel {

/**
 * @brief Writes the steps of moves as the status of the orders that asked for them.
 *
 * The revision of an order takes the place of the log's next number: a step that was decided on an
 * old revision is refused.
 */
class order_appender final : public commit_appender {
public:
    /** @brief What the appender works with; all must outlive it. */
    struct environment {
        /** @brief Thread for the platform's service. */
        store_worker& worker;
        /** @brief Control thread's events. */
        control_loop& loop;
        /** @brief Writes the status. */
        const order_codec& codec;
        /** @brief Gives the orders. */
        std::function<const operator_documents&()> documents;
    };

    /** @param env What the appender works with. */
    explicit order_appender(environment env) : environment_{std::move(env)} {}

    void append(const commit& change, const callback& done) override;

private:
    environment environment_;
};

} // namespace savorywheel

#endif
