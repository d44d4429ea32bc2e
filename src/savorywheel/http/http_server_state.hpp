#ifndef SAVORYWHEEL_HTTP_HTTP_SERVER_STATE_HPP
#define SAVORYWHEEL_HTTP_HTTP_SERVER_STATE_HPP

#include <savorywheel/http/async_http_handler.hpp>
#include <savorywheel/http/caller_ledger.hpp>
#include <savorywheel/http/drain_monitor.hpp>
#include <savorywheel/http/http_server_limits.hpp>
#include <savorywheel/http/http_server_listener.hpp>
#include <savorywheel/io/io_loop.hpp>

namespace savorywheel {

/** @brief What the connections of one server share; used on the loop's thread only. */
struct http_server_state {
    async_http_handler& handler;
    io_loop& loop;
    /** @brief Receives what does not reach the handler; may be nullptr. */
    http_server_listener* listener{};
    /** @brief Limits in force. */
    http_server_limits limits;
    /** @brief Memory held for all connections. */
    caller_ledger callers{limits.max_memory_bytes};
    /** @brief Counts connections and requests; thread-safe. */
    drain_monitor monitor{};
    /** @brief True while the server stops: each response then closes its connection. */
    bool closing{};
};

} // namespace savorywheel

#endif
