#include <support/booking_callers.hpp>

#include <string>
#include <utility>

namespace savorywheel::test {

namespace {

constexpr std::size_t caller_count = 8;

} // namespace

booking_callers::booking_callers(local_mesh& mesh, std::vector<std::size_t> nodes)
    : mesh_{mesh}, nodes_{std::move(nodes)}
{
    threads_.reserve(caller_count);
    for (std::size_t i = 0; i < caller_count; ++i) {
        threads_.emplace_back([this, i] { run(i); });
    }
}

booking_callers::~booking_callers()
{
    stop();
}

void booking_callers::stop()
{
    stopping_ = true;
    for (auto& thread : threads_) {
        if (thread.joinable()) {
            thread.join();
        }
    }
}

void booking_callers::run(std::size_t caller)
{
    const auto node = nodes_[caller % nodes_.size()];
    for (int sequence = 0; !stopping_; ++sequence) {
        const auto id = std::to_string(caller) + "-" + std::to_string(sequence);
        history_.add(id, "POST /book\n" + id,
                     mesh_.call(node, "bookdesk", {"POST", "/book", {{"x-request", id}}, id}));
    }
}

} // namespace savorywheel::test
