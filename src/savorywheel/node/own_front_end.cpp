#include <savorywheel/node/own_front_end.hpp>
#include <savorywheel/store/http_object_store.hpp>

namespace savorywheel {

namespace {

constexpr std::chrono::milliseconds store_timeout{2000};

} // namespace

const own_front_end& own_front_end::instance()
{
    static const own_front_end front;
    return front;
}

std::unique_ptr<object_store> own_front_end::make_store(http_client& client,
                                                        const network_endpoint& server) const
{
    return std::make_unique<http_object_store>(client, server, store_timeout);
}

std::unique_ptr<http_handler> own_front_end::make_announcements(node_view& /*view*/) const
{
    return nullptr;
}

} // namespace savorywheel
