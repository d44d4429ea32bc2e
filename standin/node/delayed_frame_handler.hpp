#ifndef SAVORYWHEEL_STANDIN_NODE_DELAYED_FRAME_HANDLER_HPP
#define SAVORYWHEEL_STANDIN_NODE_DELAYED_FRAME_HANDLER_HPP

#include <savorywheel/transport/frame_handler.hpp>

#include <standin/node/delayed_executor.hpp>

#include <string>

namespace savorywheel::standin {

/** @brief Delays frames from other regions and delivers all others immediately. */
class delayed_frame_handler final : public frame_handler {
public:
    /**
     * @param inner Receives the frames; must outlive this handler.
     * @param region Region of this node, as returned by address_region().
     * @param executor Delays the frames; must outlive this handler.
     */
    delayed_frame_handler(frame_handler& inner, std::string region, delayed_executor& executor);

    void on_frame(const std::shared_ptr<frame_sink>& connection, frame_kind kind,
                  std::uint64_t correlation, std::span<const std::byte> payload) override;
    void on_closed(const frame_sink& connection, bool established) override;

private:
    frame_handler& inner_;
    std::string region_;
    delayed_executor& executor_;
};

} // namespace savorywheel::standin

#endif
