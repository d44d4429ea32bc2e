#include <standin/node/address_region.hpp>
#include <standin/node/delayed_frame_handler.hpp>

#include <utility>
#include <vector>

namespace savorywheel::standin {

delayed_frame_handler::delayed_frame_handler(frame_handler& inner, std::string region,
                                             delayed_executor& executor)
    : inner_{inner}, region_{std::move(region)}, executor_{executor}
{
}

void delayed_frame_handler::on_frame(const std::shared_ptr<frame_sink>& connection, frame_kind kind,
                                     std::uint64_t correlation, std::span<const std::byte> payload)
{
    if (address_region(connection->peer_address()) == region_) {
        inner_.on_frame(connection, kind, correlation, payload);
        return;
    }
    executor_.submit([this, connection, kind, correlation,
                      copy = std::vector<std::byte>{payload.begin(), payload.end()}] {
        inner_.on_frame(connection, kind, correlation, copy);
    });
}

void delayed_frame_handler::on_closed(const frame_sink& connection, bool established)
{
    inner_.on_closed(connection, established);
}

} // namespace savorywheel::standin
