#ifndef SAVORYWHEEL_NODE_NODE_LEASE_HPP
#define SAVORYWHEEL_NODE_NODE_LEASE_HPP

#include <savorywheel/distribution/lease_record.hpp>
#include <savorywheel/settings/node_settings.hpp>

namespace savorywheel {

/** @return The record that a node writes into its leases. */
[[nodiscard]] lease_record make_node_lease(const node_settings& settings);

} // namespace savorywheel

#endif
