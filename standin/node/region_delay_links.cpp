#include <standin/node/address_region.hpp>
#include <standin/node/region_delay_links.hpp>

#include <utility>
#include <vector>

namespace savorywheel::standin {

region_delay_links::region_delay_links(const node_settings& settings, duration delay)
    : region_{address_region(settings.peer.address)},
      store_region_{address_region(settings.store.address)}, delay_{delay}, executor_{delay}
{
}

frame_handler& region_delay_links::frames(frame_handler& inner)
{
    frames_ = std::make_unique<delayed_frame_handler>(inner, region_, executor_);
    return *frames_;
}

datagram_handler region_delay_links::datagrams(datagram_handler inner)
{
    return [this, inner = std::move(inner)](const network_endpoint& sender,
                                            std::span<const std::byte> payload) {
        if (address_region(sender.address) == region_) {
            inner(sender, payload);
            return;
        }
        executor_.submit(
            [inner, sender, copy = std::vector<std::byte>{payload.begin(), payload.end()}] {
                inner(sender, copy);
            });
    };
}

object_store& region_delay_links::store(object_store& inner)
{
    if (store_region_ == region_) {
        return inner;
    }
    store_ = std::make_unique<delayed_object_store>(inner, delay_);
    return *store_;
}

} // namespace savorywheel::standin
