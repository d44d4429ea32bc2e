#ifndef SAVORYWHEEL_ADMIN_CHANGE_REQUEST_HPP
#define SAVORYWHEEL_ADMIN_CHANGE_REQUEST_HPP

#include <savorywheel/config/commit.hpp>
#include <savorywheel/config/mesh_state.hpp>
#include <savorywheel/core/findings.hpp>
#include <savorywheel/core/outcome.hpp>

namespace savorywheel {

/** @brief Change requested by an operator; replanned for each state that it is attempted on. */
class change_request {
public:
    change_request() = default;
    change_request(const change_request&) = delete;
    change_request& operator=(const change_request&) = delete;
    change_request(change_request&&) = delete;
    change_request& operator=(change_request&&) = delete;
    virtual ~change_request() = default;

    /**
     * @brief Plans the commit that makes the change.
     * @param state State that precedes the commit.
     * @param now Calendar time of the change.
     * @param report Receives errors with their positions, if the change is refused for them.
     * @return The commit, to which the caller adds operation and author; the reason if the change
     * is refused.
     */
    [[nodiscard]] virtual outcome<commit> plan(const mesh_state& state, calendar_time now,
                                               findings& report) const = 0;
};

} // namespace savorywheel

#endif
