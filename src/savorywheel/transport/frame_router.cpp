#include <savorywheel/transport/frame_router.hpp>

namespace savorywheel {

void frame_router::add(std::initializer_list<frame_kind> kinds, frame_handler& handler)
{
    for (const auto kind : kinds) {
        by_kind_.insert_or_assign(kind, &handler);
    }
    handlers_.insert(&handler);
}

void frame_router::on_frame(const std::shared_ptr<frame_sink>& connection, frame_kind kind,
                            std::uint64_t correlation, std::span<const std::byte> payload)
{
    const auto found = by_kind_.find(kind);
    if (found != by_kind_.end()) {
        found->second->on_frame(connection, kind, correlation, payload);
    }
}

void frame_router::on_malformed(const failure& reason)
{
    for (auto* handler : handlers_) {
        handler->on_malformed(reason);
    }
}

void frame_router::on_closed(const frame_sink& connection, bool established)
{
    for (auto* handler : handlers_) {
        handler->on_closed(connection, established);
    }
}

} // namespace savorywheel
