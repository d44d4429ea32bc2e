#ifndef SAVORYWHEEL_HTTP_FWD_HPP
#define SAVORYWHEEL_HTTP_FWD_HPP

namespace savorywheel {

class async_http_handler;
class async_http_server;
class caller_ledger;
class caller_limit_target;
class curl_http_client;
class curl_transfer;
class eviction_policy;
class evictable_caller;
class http_client;
class http_handler;
class http_server;
class http_server_listener;
class request_pipeline;
class request_reader;
struct caller_record;
struct http_header;
struct http_request;
struct http_response;
struct http_server_limits;

} // namespace savorywheel

#endif
