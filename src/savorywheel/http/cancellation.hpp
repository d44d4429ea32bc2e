#ifndef SAVORYWHEEL_HTTP_CANCELLATION_HPP
#define SAVORYWHEEL_HTTP_CANCELLATION_HPP

#include <functional>
#include <mutex>
#include <utility>

namespace savorywheel {

/** @brief Cancellation flag of a request, with a callback that wakes the executing thread. */
class cancellation {
public:
    /** @brief Sets the flag and invokes the callback; thread-safe. */
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
     * @brief Sets the callback and invokes it immediately if cancel() was called; an empty
     * function removes it.
     * @warning The callback must not block and must not use this object, whose mutex is locked.
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
