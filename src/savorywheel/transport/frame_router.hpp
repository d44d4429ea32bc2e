#ifndef SAVORYWHEEL_TRANSPORT_FRAME_ROUTER_HPP
#define SAVORYWHEEL_TRANSPORT_FRAME_ROUTER_HPP

#include <savorywheel/transport/frame_handler.hpp>

#include <initializer_list>
#include <map>
#include <set>

namespace savorywheel {

/** @brief Dispatches frames by kind; closures and protocol errors go to all handlers. */
class frame_router final : public frame_handler {
public:
    /**
     * @brief Registers a handler.
     * @param kinds Kinds that the handler receives, replacing an earlier registration.
     * @param handler Must outlive the router.
     * @warning Not thread-safe; call it before the network starts.
     */
    void add(std::initializer_list<frame_kind> kinds, frame_handler& handler);

    void on_frame(const std::shared_ptr<frame_sink>& connection, frame_kind kind,
                  std::uint64_t correlation, std::span<const std::byte> payload) override;
    void on_closed(const frame_sink& connection, bool established) override;
    void on_malformed(const failure& reason) override;

private:
    std::map<frame_kind, frame_handler*> by_kind_;
    std::set<frame_handler*> handlers_;
};

} // namespace savorywheel

#endif
