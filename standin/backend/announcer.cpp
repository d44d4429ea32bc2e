#include <savorywheel/encoding/codec.hpp>

#include <standin/backend/announcer.hpp>

#include <utility>

namespace savorywheel::standin {

namespace {

constexpr std::chrono::milliseconds announce_period{500};
constexpr std::chrono::milliseconds announce_timeout{1000};

} // namespace

announcer::announcer(const backend_handler& handler, http_client& client, network_endpoint node)
    : handler_{handler}, client_{client}, node_{std::move(node)}, thread_{[this] { run(); }}
{
}

announcer::~announcer()
{
    {
        const std::scoped_lock lock{mutex_};
        stopping_ = true;
    }
    wake_.notify_all();
    thread_.join();
}

void announcer::announce()
{
    const http_request request{"PUT",
                               "/backend",
                               {{"Content-Type", "application/json"}},
                               encode_json(handler_.announcement())};
    static_cast<void>(client_.send(node_, request, announce_timeout));
}

void announcer::run()
{
    std::unique_lock lock{mutex_};
    while (!stopping_) {
        lock.unlock();
        announce();
        lock.lock();
        wake_.wait_for(lock, announce_period, [this] { return stopping_; });
    }
}

} // namespace savorywheel::standin
