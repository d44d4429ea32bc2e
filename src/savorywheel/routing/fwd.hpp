#ifndef SAVORYWHEEL_ROUTING_FWD_HPP
#define SAVORYWHEEL_ROUTING_FWD_HPP

namespace savorywheel {

class ejection_aware_version_selector;
class endpoint_selector;
class host_table;
class load_table;
class locality_endpoint_selector;
class routing_table;
class routing_table_builder;
class routing_table_holder;
class routing_table_listener;
class weighted_version_selector;
class version_selector;
class version_ejections;
struct endpoint_cost;
struct route_endpoint;
struct service_routes;

} // namespace savorywheel

#endif
