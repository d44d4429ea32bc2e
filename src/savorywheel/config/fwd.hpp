#ifndef SAVORYWHEEL_CONFIG_FWD_HPP
#define SAVORYWHEEL_CONFIG_FWD_HPP

namespace savorywheel {

class commit_builder;
class mesh_state;
class mesh_spec_parser;
class mesh_validator;
class position_index;
struct caller_limits;
struct commit;
struct domain_spec;
struct host_route;
struct manual_override;
struct mesh_spec;
struct operator_configuration;
struct rollout_move;
struct rollout_order;
struct route_spec;
struct service_share;
struct service_spec;
struct service_state;
struct traffic_target;
struct version_weight;
struct virtual_host;

} // namespace savorywheel

#endif
