#include <savorywheel/core/thread_name.hpp>
#include <savorywheel/store/store_worker.hpp>

#include <utility>

namespace savorywheel {

store_worker::store_worker(object_store& store) : store_{store}, thread_{[this] { run(); }} {}

store_worker::~store_worker()
{
    stop();
}

void store_worker::submit(job work)
{
    {
        const std::scoped_lock lock{mutex_};
        queue_.push_back(std::move(work));
    }
    wake_.notify_one();
}

void store_worker::stop()
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

void store_worker::run()
{
    set_thread_name("store");
    while (true) {
        std::unique_lock lock{mutex_};
        wake_.wait(lock, [this] { return stopping_ || !queue_.empty(); });
        if (stopping_) {
            return;
        }
        const auto work = std::move(queue_.front());
        queue_.pop_front();
        lock.unlock();
        work(store_);
    }
}

} // namespace savorywheel
