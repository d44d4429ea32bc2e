#ifndef SAVORYWHEEL_TRAFFIC_FWD_HPP
#define SAVORYWHEEL_TRAFFIC_FWD_HPP

namespace savorywheel {

class call_observer;
class call_transport;
class backend_client;
class gate;
class gate_call_log;
class gate_state;
class http_rejection_log;
class peer_call_transport;
class proxy_handler;
class proxy_call_log;
class retry_budget;
struct backend_server;
struct call_observation;
struct call_context;
struct call_request;
struct call_response;
struct received_response;
struct response_origin;

} // namespace savorywheel

#endif
