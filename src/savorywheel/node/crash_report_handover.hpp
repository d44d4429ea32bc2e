#ifndef SAVORYWHEEL_NODE_CRASH_REPORT_HANDOVER_HPP
#define SAVORYWHEEL_NODE_CRASH_REPORT_HANDOVER_HPP

#include <savorywheel/membership/member_table.hpp>
#include <savorywheel/node/peer_delivery.hpp>
#include <savorywheel/traffic/crash_report.hpp>

#include <functional>
#include <vector>

namespace savorywheel {

/**
 * @brief Tells gates that join a service, or return to it, which requests crash backend servers.
 *
 * Reports are broadcast once, when a backend server crashes. A gate that starts later, or is out of
 * reach at the time, learns of them when its member record changes.
 * @warning Not thread-safe; call all members on the control thread.
 */
class crash_report_handover {
public:
    /** @brief Dependencies; all must outlive the object. */
    struct environment {
        peer_delivery::environment peers;
        /** @brief Returns the crashes of a service that this node knows. */
        std::function<std::vector<crash_report>(const service_name&)> reports;
        /** @brief Returns the current member table. */
        std::function<const member_table&()> members;
        /** @brief Returns the record of this node. */
        std::function<const member_record&()> self;
    };

    explicit crash_report_handover(environment env);

    /** @brief Sends the known crashes to a member of a service that this node has reports of. */
    void on_member_changed(const member_update& update);

private:
    [[nodiscard]] bool is_sender(const member_record& receiver) const;

    environment environment_;
    peer_delivery delivery_;
};

} // namespace savorywheel

#endif
