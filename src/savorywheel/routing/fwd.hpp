#ifndef SAVORYWHEEL_ROUTING_FWD_HPP
#define SAVORYWHEEL_ROUTING_FWD_HPP

namespace savorywheel {

class ejecting_version_chooser;
class endpoint_chooser;
class host_table;
class load_table;
class nearest_endpoint_chooser;
class routing_table;
class routing_table_builder;
class routing_table_holder;
class weighted_version_chooser;
class version_chooser;
class version_ejections;
struct endpoint_cost;
struct route_endpoint;
struct service_routes;

} // namespace savorywheel

#endif
