#ifndef SAVORYWHEEL_HTTP_CANCELLATION_HPP
#define SAVORYWHEEL_HTTP_CANCELLATION_HPP

#include <functional>
#include <mutex>
#include <utility>

namespace savorywheel {

/** @brief Tells the thread that carries out a request that its answer is no longer wanted. */
class cancellation {
public:
    /** @brief Cancels, and wakes the thread; any thread may call this. */
    void cancel()
    {
        const std::scoped_lock lock{mutex_};
        cancelled_ = true;
        if (callback_) {
            callback_();
        }
    }

    /** @return True after cancel(). */
    [[nodiscard]] bool cancelled() const
    {
        const std::scoped_lock lock{mutex_};
        return cancelled_;
    }

    /**
     * @brief Sets what wakes the thread, and calls it if cancel() was called; an empty function
     * removes it.
     * @warning The function must not wait; it is called during cancel().
     */
    void set_callback(std::function<void()> callback)
    {
        const std::scoped_lock lock{mutex_};
        callback_ = std::move(callback);
        if (cancelled_ && callback_) {
            callback_();
        }
    }

private:
    mutable std::mutex mutex_;
    bool cancelled_{};
    std::function<void()> callback_;
};

} // namespace savorywheel

#endif
