#include <savorywheel/http/http_status.hpp>

#include <platform/metadata_store_server.hpp>
#include <support/loopback_socket.hpp>
#include <unistd.h>

#include <chrono>

namespace savorywheel::platform::test {

namespace {

constexpr std::string_view wait_parameter = "wait-ms=";

/** Returns the wait of a watch; zero for other requests. */
std::chrono::milliseconds wait_of(std::string_view target)
{
    const auto position = target.find(wait_parameter);
    return std::chrono::milliseconds{
        position == std::string_view::npos
            ? 0
            : std::stol(std::string{target.substr(position + wait_parameter.size())})};
}

} // namespace

metadata_store_server::metadata_store_server()
{
    ::close(savorywheel::test::listen_on_loopback(endpoint_));
    static_cast<void>(server_.start(endpoint_));
}

metadata_store_server::~metadata_store_server()
{
    {
        const std::scoped_lock lock{mutex_};
        stopping_ = true;
    }
    changed_.notify_all();
    server_.stop();
}

void metadata_store_server::put(const std::string& kind, const std::string& name,
                                const json& object)
{
    store_.put(kind, name, object);
    {
        const std::scoped_lock lock{mutex_};
        ++changes_;
    }
    changed_.notify_all();
}

void metadata_store_server::restore()
{
    store_.restore();
    {
        const std::scoped_lock lock{mutex_};
        ++changes_;
        ++restores_;
    }
    changed_.notify_all();
}

http_response metadata_store_server::handle(const http_request& request)
{
    ++calls_;
    auto response = answer(request);
    bytes_ += response.body.size();
    return response;
}

http_response metadata_store_server::answer(const http_request& request)
{
    if (!available_) {
        return {status_unavailable, {}, {}};
    }
    const auto end = std::chrono::steady_clock::now() + wait_of(request.target);
    while (true) {
        std::unique_lock lock{mutex_};
        const auto known = changes_;
        const auto restores = restores_;
        lock.unlock();
        auto response = store_.send({}, request, {});
        const bool is_final = !response || response->status != status_ok ||
                              response->body.find(R"("events":[])") == std::string::npos;
        if (is_final) {
            return response ? *response : http_response{status_unavailable, {}, {}};
        }
        lock.lock();
        if (restores_ != restores) {
            return {status_gone, {}, {}};
        }
        if (!changed_.wait_until(lock, end, [&] { return stopping_ || changes_ != known; }) ||
            stopping_) {
            return *response;
        }
        if (restores_ != restores) {
            return {status_gone, {}, {}};
        }
    }
}

} // namespace savorywheel::platform::test
