#include <standin/node/delayed_executor.hpp>

#include <utility>

namespace savorywheel::standin {

delayed_executor::delayed_executor(duration delay) : delay_{delay}, thread_{[this] { run(); }} {}

delayed_executor::~delayed_executor()
{
    stop();
}

void delayed_executor::submit(task work)
{
    {
        const std::scoped_lock lock{mutex_};
        queue_.push_back({std::chrono::steady_clock::now() + delay_, std::move(work)});
    }
    wake_.notify_one();
}

void delayed_executor::stop()
{
    {
        const std::scoped_lock lock{mutex_};
        stopping_ = true;
        queue_.clear();
    }
    wake_.notify_all();
    if (thread_.joinable()) {
        thread_.join();
    }
}

void delayed_executor::run()
{
    std::unique_lock lock{mutex_};
    while (true) {
        wake_.wait(lock, [this] { return stopping_ || !queue_.empty(); });
        if (stopping_) {
            return;
        }
        const auto due = queue_.front().due;
        if (wake_.wait_until(lock, due, [this] { return stopping_; })) {
            return;
        }
        const auto work = std::move(queue_.front().work);
        queue_.pop_front();
        lock.unlock();
        work();
        lock.lock();
    }
}

} // namespace savorywheel::standin
