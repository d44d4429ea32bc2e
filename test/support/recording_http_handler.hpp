#ifndef SAVORYWHEEL_TEST_SUPPORT_RECORDING_HTTP_HANDLER_HPP
#define SAVORYWHEEL_TEST_SUPPORT_RECORDING_HTTP_HANDLER_HPP

#include <savorywheel/http/http_handler.hpp>

#include <mutex>
#include <utility>
#include <vector>

namespace savorywheel::test {

/** @brief Records requests and responds to each with status 200. */
class recording_http_handler final : public http_handler {
public:
    [[nodiscard]] http_response handle(const http_request& request) override
    {
        const std::scoped_lock lock{mutex_};
        requests_.push_back(request);
        return {200, {}, "ok"};
    }

    /** @return Requests since the last call. */
    [[nodiscard]] std::vector<http_request> take()
    {
        const std::scoped_lock lock{mutex_};
        return std::exchange(requests_, {});
    }

private:
    std::mutex mutex_;
    std::vector<http_request> requests_;
};

} // namespace savorywheel::test

#endif
