#include <support/steady_load.hpp>

#include <algorithm>
#include <utility>

namespace savorywheel::test {

namespace {

constexpr std::chrono::milliseconds call_interval{5};
constexpr int min_server_error_status = 500;

} // namespace

steady_load::steady_load(local_mesh& mesh, const std::vector<std::size_t>& nodes,
                         std::string service, std::string path)
    : mesh_{mesh}, service_{std::move(service)}, path_{std::move(path)}
{
    for (const auto node : nodes) {
        threads_.emplace_back([this, node] { run(node); });
    }
}

steady_load::~steady_load()
{
    {
        const std::scoped_lock lock{mutex_};
        stopping_ = true;
    }
    stop_requested_.notify_all();
    for (auto& thread : threads_) {
        thread.join();
    }
}

std::size_t steady_load::responses_from_version(const std::string& version) const
{
    const std::scoped_lock lock{mutex_};
    const auto name_prefix = service_ + "/" + version + "@";
    return static_cast<std::size_t>(
        std::ranges::count_if(backends_, [&name_prefix](const std::string& name) {
            return name.starts_with(name_prefix);
        }));
}

std::size_t steady_load::failures() const
{
    const std::scoped_lock lock{mutex_};
    return failures_;
}

std::size_t steady_load::calls() const
{
    const std::scoped_lock lock{mutex_};
    return calls_;
}

void steady_load::run(std::size_t node)
{
    std::unique_lock lock{mutex_};
    while (!stopping_) {
        lock.unlock();
        const auto response = mesh_.call(node, service_, {"GET", path_, {}, {}});
        lock.lock();
        if (response) {
            count(*response);
        }
        stop_requested_.wait_for(lock, call_interval, [this] { return stopping_; });
    }
}

void steady_load::count(const http_response& response)
{
    ++calls_;
    failures_ += response.status >= min_server_error_status ? 1 : 0;
    backends_.emplace_back(find_header(response.headers, "x-backend"));
}

} // namespace savorywheel::test
