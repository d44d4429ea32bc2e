#include <support/steady_load.hpp>

#include <algorithm>
#include <utility>

namespace savorywheel::test {

namespace {

constexpr std::chrono::milliseconds pause{5};
constexpr int first_server_error = 500;

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
    wake_.notify_all();
    for (auto& thread : threads_) {
        thread.join();
    }
}

std::size_t steady_load::answers_of(const std::string& version) const
{
    const std::scoped_lock lock{mutex_};
    const auto start = service_ + "/" + version + "@";
    return static_cast<std::size_t>(std::ranges::count_if(
        backends_, [&start](const std::string& name) { return name.starts_with(start); }));
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
        const auto answer = mesh_.call(node, service_, {"GET", path_, {}, {}});
        lock.lock();
        if (answer) {
            count(*answer);
        }
        wake_.wait_for(lock, pause, [this] { return stopping_; });
    }
}

void steady_load::count(const http_response& answer)
{
    ++calls_;
    failures_ += answer.status >= first_server_error ? 1 : 0;
    backends_.emplace_back(find_header(answer.headers, "x-backend"));
}

} // namespace savorywheel::test
