#ifndef SAVORYWHEEL_NODE_STORE_COMMIT_APPENDER_HPP
#define SAVORYWHEEL_NODE_STORE_COMMIT_APPENDER_HPP

#include <savorywheel/core/control_loop.hpp>
#include <savorywheel/rollout/commit_appender.hpp>
#include <savorywheel/store/store_worker.hpp>

namespace savorywheel {

/** @brief Appends commits on the thread that waits for the platform's service. */
class store_commit_appender final : public commit_appender {
public:
    /**
     * @param worker Thread for the platform's service; must outlive the appender.
     * @param loop Control thread's events; must outlive the appender.
     */
    store_commit_appender(store_worker& worker, control_loop& loop) noexcept
        : worker_{worker}, loop_{loop}
    {
    }

    void append(const commit& change, const callback& done) override;

private:
    store_worker& worker_;
    control_loop& loop_;
};

} // namespace savorywheel

#endif
