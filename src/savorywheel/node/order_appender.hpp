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
 * @brief Writes the steps of a traffic move into the status of the rollout order that started it.
 *
 * The conditional update uses the revision of the order, as the ordered log uses its next sequence
 * number: a step that was decided on an old revision fails.
 */
class order_appender final : public commit_appender {
public:
    /** @brief Dependencies; all must outlive the appender. */
    struct environment {
        /** @brief Runs blocking calls to the object store. */
        store_worker& worker;
        /** @brief Event loop of the control thread. */
        control_loop& loop;
        /** @brief Encodes the status. */
        const order_codec& codec;
        /** @brief Returns the documents that contain the orders. */
        std::function<const operator_documents&()> documents;
    };

    /** @param env Dependencies. */
    explicit order_appender(environment env) : environment_{std::move(env)} {}

    void append(const commit& change, const callback& done) override;

private:
    environment environment_;
};

} // namespace savorywheel

#endif
