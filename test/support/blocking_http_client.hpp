#ifndef SAVORYWHEEL_TEST_SUPPORT_BLOCKING_HTTP_CLIENT_HPP
#define SAVORYWHEEL_TEST_SUPPORT_BLOCKING_HTTP_CLIENT_HPP

#include <savorywheel/http/http_client.hpp>

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <vector>

namespace savorywheel::test {

/** @brief HTTP client whose requests block until a test releases them; it records their bodies. */
class blocking_http_client final : public http_client {
public:
    outcome<http_response> send(const network_endpoint& /*server*/, const http_request& request,
                                std::chrono::milliseconds /*timeout*/) override
    {
        std::unique_lock lock{mutex_};
        started_.push_back(request.body);
        most_running_ = std::max(most_running_, ++running_);
        changed_.notify_all();
        changed_.wait(lock, [this] { return permits_ > 0; });
        --permits_;
        --running_;
        return http_response{200, {}, request.body};
    }

    /** @brief Lets the given number of requests complete. */
    void release(std::size_t count)
    {
        const std::scoped_lock lock{mutex_};
        permits_ += count;
        changed_.notify_all();
    }

    /** @return Bodies of all requests in the order of their start. */
    [[nodiscard]] std::vector<std::string> started() const
    {
        const std::scoped_lock lock{mutex_};
        return started_;
    }

    /** @return Number of started requests with the body. */
    [[nodiscard]] std::size_t count(const std::string& body) const
    {
        const std::scoped_lock lock{mutex_};
        return static_cast<std::size_t>(std::ranges::count(started_, body));
    }

    /** @return Maximum number of concurrent requests. */
    [[nodiscard]] std::size_t max_concurrent_requests() const
    {
        const std::scoped_lock lock{mutex_};
        return most_running_;
    }

private:
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<std::string> started_;
    std::size_t running_{};
    std::size_t most_running_{};
    std::size_t permits_{};
};

} // namespace savorywheel::test

#endif
