#include <savorywheel/node/native_front_end.hpp>
#include <savorywheel/store/http_object_store.hpp>

namespace savorywheel {

namespace {

constexpr std::chrono::milliseconds store_timeout{2000};

} // namespace

const native_front_end& native_front_end::instance()
{
    static const native_front_end front;
    return front;
}

std::unique_ptr<object_store> native_front_end::make_store(http_client& client,
                                                           const network_endpoint& server,
                                                           event_log& /*log*/) const
{
    return std::make_unique<http_object_store>(client, server, store_timeout);
}

std::unique_ptr<http_handler> native_front_end::make_announcement_handler(node_control& /*control*/,
                                                                          event_log& /*log*/) const
{
    return nullptr;
}

} // namespace savorywheel
