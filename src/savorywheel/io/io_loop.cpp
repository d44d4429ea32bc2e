#include <savorywheel/core/thread_name.hpp>
#include <savorywheel/core/timer_service.hpp>
#include <savorywheel/io/io_loop.hpp>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <optional>
#include <thread>
#include <utility>

namespace savorywheel {

namespace {

namespace asio = boost::asio;

} // namespace

/** Keeps the Boost.Asio types out of the header. */
class io_loop::impl {
public:
    impl(const clock& source, error_listener on_error)
        : timers_{source}, on_error_{std::move(on_error)}
    {
    }

    void start(const char* thread_name)
    {
        thread_ = std::thread{[this, thread_name] {
            set_thread_name(thread_name);
            run();
        }};
    }

    void stop()
    {
        if (!thread_.joinable()) {
            return;
        }
        work_guard_.reset();
        context_.stop();
        thread_.join();
    }

    [[nodiscard]] subscription after(duration delay, task item)
    {
        auto timer = timers_.after(delay, std::move(item));
        wait_for_next_timer();
        return timer;
    }

    [[nodiscard]] asio::io_context& context() noexcept { return context_; }

private:
    void run()
    {
        while (!context_.stopped()) {
            run_guarded([this] { context_.run(); }, on_error_);
            wait_for_next_timer();
        }
    }

    void wait_for_next_timer()
    {
        const auto due = timers_.next_due();
        if (!due || (waiting_for_ && *waiting_for_ <= *due)) {
            return;
        }
        waiting_for_ = due;
        wake_.expires_at(*due);
        wake_.async_wait([this](const boost::system::error_code& error) {
            if (error) {
                return;
            }
            waiting_for_.reset();
            timers_.run_due();
            wait_for_next_timer();
        });
    }

    // Pending handlers, which the context destroys, cancel their timers.
    timer_service timers_;
    error_listener on_error_;
    asio::io_context context_{1};
    asio::executor_work_guard<asio::io_context::executor_type> work_guard_{
        asio::make_work_guard(context_)};
    asio::steady_timer wake_{context_};
    /** Time at which wake_ expires; none if it is not armed. */
    std::optional<monotonic_time> waiting_for_;
    std::thread thread_;
};

io_loop::io_loop(const clock& source, error_listener on_error)
    : impl_{std::make_unique<impl>(source, std::move(on_error))}
{
}

io_loop::~io_loop()
{
    stop();
}

void io_loop::start(const char* thread_name)
{
    impl_->start(thread_name);
}

void io_loop::stop()
{
    impl_->stop();
}

void io_loop::post(task item)
{
    asio::post(impl_->context(), std::move(item));
}

subscription io_loop::after(duration delay, task item)
{
    return impl_->after(delay, std::move(item));
}

asio::io_context& io_loop::context() noexcept
{
    return impl_->context();
}

} // namespace savorywheel
