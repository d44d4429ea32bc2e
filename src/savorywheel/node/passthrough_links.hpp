#ifndef SAVORYWHEEL_NODE_PASSTHROUGH_LINKS_HPP
#define SAVORYWHEEL_NODE_PASSTHROUGH_LINKS_HPP

#include <savorywheel/node/link_decorator.hpp>

namespace savorywheel {

/** @brief Decorator that adds no wrappers. */
class passthrough_links final : public link_decorator {
public:
    /** @return The decorator for production. */
    [[nodiscard]] static passthrough_links& instance()
    {
        static passthrough_links links;
        return links;
    }

    [[nodiscard]] frame_handler& frames(frame_handler& inner) override { return inner; }
    [[nodiscard]] datagram_handler datagrams(datagram_handler inner) override { return inner; }
    [[nodiscard]] object_store& store(object_store& inner) override { return inner; }
    void stop() override {}
};

} // namespace savorywheel

#endif
