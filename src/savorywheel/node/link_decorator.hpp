#ifndef SAVORYWHEEL_NODE_LINK_DECORATOR_HPP
#define SAVORYWHEEL_NODE_LINK_DECORATOR_HPP

#include <savorywheel/store/object_store.hpp>
#include <savorywheel/transport/datagram_handler.hpp>
#include <savorywheel/transport/frame_handler.hpp>

namespace savorywheel {

/** @brief Wraps the network and store interfaces of a node; tests inject delays and faults. */
class link_decorator {
public:
    link_decorator() = default;
    link_decorator(const link_decorator&) = delete;
    link_decorator& operator=(const link_decorator&) = delete;
    link_decorator(link_decorator&&) = delete;
    link_decorator& operator=(link_decorator&&) = delete;
    virtual ~link_decorator() = default;

    /** @return Frame handler wrapped around the inner one, which outlives it. */
    [[nodiscard]] virtual frame_handler& frames(frame_handler& inner) = 0;

    /** @return Datagram handler wrapped around the inner one. */
    [[nodiscard]] virtual datagram_handler datagrams(datagram_handler inner) = 0;

    /** @return Object store wrapped around the inner one, which outlives it. */
    [[nodiscard]] virtual object_store& store(object_store& inner) = 0;

    /** @brief Stops the threads of the wrappers; the inner objects still exist. */
    virtual void stop() = 0;
};

} // namespace savorywheel

#endif
