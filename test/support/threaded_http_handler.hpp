#ifndef SAVORYWHEEL_TEST_SUPPORT_THREADED_HTTP_HANDLER_HPP
#define SAVORYWHEEL_TEST_SUPPORT_THREADED_HTTP_HANDLER_HPP

#include <savorywheel/http/async_http_handler.hpp>
#include <savorywheel/http/http_handler.hpp>

#include <mutex>
#include <thread>
#include <utility>
#include <vector>

namespace savorywheel::test {

/** @brief Runs a handler that may block on a thread per request. */
class threaded_http_handler final : public async_http_handler {
public:
    /** @param handler Must outlive this object. */
    explicit threaded_http_handler(http_handler& handler) noexcept : handler_{handler} {}
    threaded_http_handler(const threaded_http_handler&) = delete;
    threaded_http_handler& operator=(const threaded_http_handler&) = delete;
    threaded_http_handler(threaded_http_handler&&) = delete;
    threaded_http_handler& operator=(threaded_http_handler&&) = delete;
    ~threaded_http_handler() override
    {
        for (auto& thread : threads_) {
            thread.join();
        }
    }

    void start(http_request request, const std::shared_ptr<cancellation>& /*cancel_signal*/,
               responder respond) override
    {
        const std::scoped_lock lock{mutex_};
        threads_.emplace_back([this, item = std::move(request), respond = std::move(respond)] {
            respond(handler_.handle(item));
        });
    }

private:
    http_handler& handler_;
    std::mutex mutex_;
    std::vector<std::thread> threads_;
};

} // namespace savorywheel::test

#endif
