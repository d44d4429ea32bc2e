#ifndef SAVORYWHEEL_NODE_STORE_COMMIT_APPENDER_HPP
#define SAVORYWHEEL_NODE_STORE_COMMIT_APPENDER_HPP

#include <savorywheel/core/control_loop.hpp>
#include <savorywheel/rollout/commit_appender.hpp>
#include <savorywheel/store/store_worker.hpp>

namespace savorywheel {

/** @brief Appends commits to the ordered log on the store worker's thread. */
class store_commit_appender final : public commit_appender {
public:
    /**
     * @param worker Runs blocking calls to the object store; must outlive the appender.
     * @param loop Event loop of the control thread; must outlive the appender.
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
