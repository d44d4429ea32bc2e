#include <savorywheel/core/control_loop.hpp>

#include <utility>

namespace savorywheel {

void control_loop::post(event task)
{
    {
        const std::scoped_lock lock{mutex_};
        queue_.push_back(std::move(task));
    }
    wake_.notify_one();
}

void control_loop::run()
{
    while (true) {
        run_batch(take_pending());
        run_guarded([this] { timers_.run_due(); }, on_error_);
        std::unique_lock lock{mutex_};
        if (stopping_) {
            return;
        }
        if (!queue_.empty()) {
            continue;
        }
        const auto ready = [this] { return stopping_ || !queue_.empty(); };
        if (const auto due = timers_.next_due()) {
            wake_.wait_until(lock, *due, ready);
        }
        else {
            wake_.wait(lock, ready);
        }
    }
}

void control_loop::stop()
{
    {
        const std::scoped_lock lock{mutex_};
        stopping_ = true;
    }
    wake_.notify_all();
}

void control_loop::run_pending()
{
    for (auto batch = take_pending(); !batch.empty(); batch = take_pending()) {
        run_batch(batch);
    }
    run_guarded([this] { timers_.run_due(); }, on_error_);
}

void control_loop::run_batch(const std::deque<event>& batch)
{
    for (const auto& task : batch) {
        run_guarded(task, on_error_);
    }
}

std::deque<control_loop::event> control_loop::take_pending()
{
    const std::scoped_lock lock{mutex_};
    return std::exchange(queue_, {});
}

} // namespace savorywheel
