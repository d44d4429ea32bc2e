#include <savorywheel/transport/request_client.hpp>

#include <utility>

namespace savorywheel {

std::uint64_t request_client::submit(const std::shared_ptr<frame_sink>& connection, frame_kind kind,
                                     std::span<const std::byte> payload, const callback& done)
{
    std::uint64_t correlation{};
    {
        const std::scoped_lock lock{mutex_};
        correlation = ++last_correlation_;
        pending_.emplace(correlation, pending{connection, done});
    }
    if (!connection->send(kind, correlation, payload) && discard(correlation)) {
        done(failure{failure_code::unavailable, "the connection to the peer is closed"});
    }
    return correlation;
}

bool request_client::discard(std::uint64_t correlation)
{
    const std::scoped_lock lock{mutex_};
    return pending_.erase(correlation) > 0;
}

void request_client::on_frame(const std::shared_ptr<frame_sink>& connection, frame_kind /*kind*/,
                              std::uint64_t correlation, std::span<const std::byte> payload)
{
    callback done;
    {
        const std::scoped_lock lock{mutex_};
        const auto found = pending_.find(correlation);
        if (found == pending_.end() || found->second.connection != connection) {
            return;
        }
        done = std::move(found->second.done);
        pending_.erase(found);
    }
    done(std::vector<std::byte>{payload.begin(), payload.end()});
}

void request_client::on_closed(const frame_sink& connection, bool established)
{
    std::vector<callback> interrupted;
    {
        const std::scoped_lock lock{mutex_};
        for (auto item = pending_.begin(); item != pending_.end();) {
            if (item->second.connection.get() == &connection) {
                interrupted.push_back(std::move(item->second.done));
                item = pending_.erase(item);
            }
            else {
                ++item;
            }
        }
    }
    const auto code = established ? failure_code::unknown_outcome : failure_code::unavailable;
    for (const auto& done : interrupted) {
        done(failure{code, "the connection to the peer was closed"});
    }
}

} // namespace savorywheel
