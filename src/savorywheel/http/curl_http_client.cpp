#include <savorywheel/http/curl_http_client.hpp>
#include <savorywheel/http/curl_transfer.hpp>

#include <utility>

namespace savorywheel {

namespace {

constexpr std::size_t max_idle_handles = 64;

/** Initializes libcurl once for the process. */
void initialize_library()
{
    static const auto result = curl_global_init(CURL_GLOBAL_DEFAULT);
    static_cast<void>(result);
}

} // namespace

curl_http_client::curl_http_client(response_framing framing, http_client_limits limits)
    : framing_{framing}, limits_{limits}, buffered_{limits.max_buffered_bytes}
{
    initialize_library();
}

curl_http_client::~curl_http_client() = default;

outcome<http_response> curl_http_client::send(const network_endpoint& server,
                                              const http_request& request,
                                              std::chrono::milliseconds timeout)
{
    cancellation cancel_signal;
    {
        const std::scoped_lock lock{mutex_};
        if (aborted_) {
            return failure{failure_code::unavailable, "the client was stopped"};
        }
        in_flight_.insert(&cancel_signal);
    }
    auto result = send_until_cancelled(server, request, timeout, cancel_signal);
    const std::scoped_lock lock{mutex_};
    in_flight_.erase(&cancel_signal);
    return result;
}

void curl_http_client::abort()
{
    const std::scoped_lock lock{mutex_};
    aborted_ = true;
    for (auto* cancel_signal : in_flight_) {
        cancel_signal->cancel();
    }
}

outcome<http_response> curl_http_client::send_until_cancelled(const network_endpoint& server,
                                                              const http_request& request,
                                                              std::chrono::milliseconds timeout,
                                                              cancellation& cancel_signal)
{
    auto handle = acquire(server);
    auto result = handle->perform(server, request, timeout, cancel_signal);
    if (result) {
        release(server, std::move(handle));
    }
    else if (!cancel_signal.cancelled()) {
        // After a failure the idle connections to the server may be dead as well.
        close_idle(server);
    }
    return result;
}

bool curl_http_client::accepts_connections(const network_endpoint& server)
{
    return curl_transfer::accepts_connections(server);
}

std::unique_ptr<curl_transfer> curl_http_client::acquire(const network_endpoint& server)
{
    const std::scoped_lock lock{mutex_};
    auto& idle = idle_[server];
    if (idle.empty()) {
        return std::make_unique<curl_transfer>(framing_, limits_, buffered_);
    }
    auto handle = std::move(idle.back());
    idle.pop_back();
    return handle;
}

void curl_http_client::close_idle(const network_endpoint& server)
{
    std::vector<std::unique_ptr<curl_transfer>> dropped;
    const std::scoped_lock lock{mutex_};
    dropped.swap(idle_[server]);
}

void curl_http_client::release(const network_endpoint& server,
                               std::unique_ptr<curl_transfer> handle)
{
    const std::scoped_lock lock{mutex_};
    auto& idle = idle_[server];
    if (idle.size() < max_idle_handles) {
        idle.push_back(std::move(handle));
    }
}

} // namespace savorywheel
