#ifndef SAVORYWHEEL_NODE_ANNOUNCEMENT_FILTER_HPP
#define SAVORYWHEEL_NODE_ANNOUNCEMENT_FILTER_HPP

#include <savorywheel/distribution/confirmation_message.hpp>

#include <cstdint>

namespace savorywheel {

/**
 * @brief Passes on one of the announcements by which several watchers tell the same head.
 *
 * Each origin has trees of its own. Of two origins the lower one wins at every node, so that its
 * message passes its trees completely; dropping whichever comes second would cut both of them.
 */
class announcement_filter {
public:
    /** @return True if the announcement is to be passed on. */
    [[nodiscard]] bool admit(const confirmation_message& message)
    {
        if (knows(message.head) && message.id != id_ && origin_ <= message.origin.node) {
            return false;
        }
        id_ = message.id;
        head_ = message.head;
        origin_ = message.origin.node;
        return true;
    }

    /** @return True if the last announcement has this head. */
    [[nodiscard]] bool knows(const configuration_head& head) const
    {
        return id_ != 0 && head_ == head;
    }

private:
    std::uint64_t id_{};
    configuration_head head_;
    node_id origin_;
};

} // namespace savorywheel

#endif
