#ifndef SAVORYWHEEL_NODE_NODE_RECORD_HPP
#define SAVORYWHEEL_NODE_NODE_RECORD_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/membership/member_record.hpp>
#include <savorywheel/settings/node_settings.hpp>

namespace savorywheel {

/**
 * @brief Makes the member record with which a node starts.
 * @param settings Settings of the node.
 * @param time Clock; the incarnation follows its calendar, so that it grows over restarts.
 * @return The record, without a backend server.
 */
[[nodiscard]] member_record make_node_record(const node_settings& settings, const clock& time);

} // namespace savorywheel

#endif
