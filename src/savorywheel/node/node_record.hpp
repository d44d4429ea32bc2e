#ifndef SAVORYWHEEL_NODE_NODE_RECORD_HPP
#define SAVORYWHEEL_NODE_NODE_RECORD_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/membership/member_record.hpp>
#include <savorywheel/settings/node_settings.hpp>

namespace savorywheel {

/**
 * @brief Creates the initial member record of a node.
 * @param settings Settings of the node.
 * @param time Clock; its calendar time is the incarnation, which therefore grows across restarts.
 * @return The record, without a backend server.
 */
[[nodiscard]] member_record make_node_record(const node_settings& settings, const clock& time);

} // namespace savorywheel

#endif
