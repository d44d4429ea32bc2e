#ifndef SAVORYWHEEL_NODE_LINK_DECORATOR_HPP
#define SAVORYWHEEL_NODE_LINK_DECORATOR_HPP

#include <savorywheel/store/object_store.hpp>
#include <savorywheel/transport/datagram_handler.hpp>
#include <savorywheel/transport/frame_handler.hpp>

namespace savorywheel {

/** @brief Puts layers around a node's links; tests use it for delays and faults. */
class link_decorator {
public:
    link_decorator() = default;
    link_decorator(const link_decorator&) = delete;
    link_decorator& operator=(const link_decorator&) = delete;
    link_decorator(link_decorator&&) = delete;
    link_decorator& operator=(link_decorator&&) = delete;
    virtual ~link_decorator() = default;

    /** @return What takes the frames in place of the inner handler, which outlives it. */
    [[nodiscard]] virtual frame_handler& frames(frame_handler& inner) = 0;

    /** @return What takes the datagrams in place of the inner handler. */
    [[nodiscard]] virtual datagram_handler datagrams(datagram_handler inner) = 0;

    /** @return What is called in place of the inner store, which outlives it. */
    [[nodiscard]] virtual object_store& store(object_store& inner) = 0;

    /** @brief Ends what the layers do on their own threads; the inner parts are still there. */
    virtual void stop() = 0;
};

} // namespace savorywheel

#endif
