#ifndef SAVORYWHEEL_NODE_WATCH_DUTY_HPP
#define SAVORYWHEEL_NODE_WATCH_DUTY_HPP

#include <savorywheel/core/control_loop.hpp>
#include <savorywheel/distribution/watcher_choice.hpp>
#include <savorywheel/log/event_log.hpp>
#include <savorywheel/membership/swim_agent.hpp>

#include <functional>
#include <optional>
#include <utility>

namespace savorywheel {

/**
 * @brief Follows the members and decides when this node starts or ends its watches.
 * @warning Only for use on the control thread.
 */
class watch_duty {
public:
    /** @brief Dependencies; all must outlive the duty. */
    struct environment {
        /** @brief Event loop of the control thread. */
        control_loop& loop;
        event_log& log;
        /** @brief Members, including this node. */
        const swim_agent& members;
        /** @brief Receives each new choice. */
        std::function<void(const watcher_choice& choice)> changed;
        /** @brief True if every node watches, whatever the size of the mesh. */
        bool every_node{};
    };

    /** @param env Dependencies. */
    explicit watch_duty(environment env) : environment_{std::move(env)} {}

    /** @brief Starts to follow the members. */
    void start();

    /** @brief Stops to follow the members; the choice stays as it is. */
    void stop();

    /** @brief Decides anew soon, together with the changes that follow meanwhile. */
    void on_members_changed();

private:
    void decide();

    environment environment_;
    bool running_{};
    bool pending_{};
    std::optional<watcher_choice> choice_;
    subscription timer_;
};

} // namespace savorywheel

#endif
