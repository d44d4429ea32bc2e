#include <savorywheel/http/async_http_server.hpp>
#include <savorywheel/http/http_connection.hpp>
#include <savorywheel/http/http_server_state.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <fmt/format.h>

#include <future>
#include <set>
#include <utility>

namespace savorywheel {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;

/** Pause after a failed accept, such as for lack of descriptors. */
constexpr std::chrono::milliseconds accept_retry_delay{100};

} // namespace

/** Keeps the Boost.Asio types out of the header. */
class async_http_server::impl : public std::enable_shared_from_this<impl> {
public:
    impl(async_http_handler& handler, io_loop& loop, http_server_limits limits,
         http_server_listener* listener)
        : state_{handler, loop, listener, limits}, acceptor_{loop.context()}, accept_retry_timer_{
                                                                                  loop.context()}
    {
    }

    outcome<bool> listen(const network_endpoint& local)
    {
        error_code error;
        const auto address = asio::ip::make_address_v4(local.address, error);
        if (error) {
            return failure{failure_code::invalid_argument, "not an IPv4 address: " + local.address};
        }
        const asio::ip::tcp::endpoint endpoint{address, local.port};
        acceptor_.open(endpoint.protocol(), error);
        if (!error) {
            acceptor_.set_option(asio::socket_base::reuse_address{true}, error);
        }
        if (!error) {
            acceptor_.bind(endpoint, error);
        }
        if (!error) {
            acceptor_.listen(asio::socket_base::max_listen_connections, error);
        }
        if (error) {
            return failure{failure_code::unavailable,
                           "cannot listen on " + to_string(local) + ": " + error.message()};
        }
        running_ = true;
        post([](impl& self) { self.accept_next(); });
        return true;
    }

    void set_caller_limits(std::size_t max_body_bytes, std::chrono::seconds idle_timeout,
                           std::chrono::milliseconds header_timeout)
    {
        post([max_body_bytes, idle_timeout, header_timeout](impl& self) {
            self.state_.limits.header_timeout = header_timeout;
            self.state_.limits.max_body_bytes = max_body_bytes;
            self.state_.limits.idle_timeout = idle_timeout;
            for (const auto& connection : self.connections_) {
                connection->restart_idle_timer();
            }
        });
    }

    [[nodiscard]] std::size_t held_bytes() const noexcept { return state_.callers.held(); }

    void stop(std::chrono::milliseconds drain_limit)
    {
        if (!std::exchange(running_, false)) {
            return;
        }
        const auto limits = state_.limits;
        post([](impl& self) { self.state_.closing = true; });
        if (!state_.monitor.wait_until_idle(drain_limit, limits.drain_idle)) {
            post([](impl& self) { self.interrupt_requests(); });
            static_cast<void>(
                state_.monitor.wait_until_idle(limits.interruption_limit, limits.drain_idle));
        }
        std::promise<void> closed;
        post([&closed](impl& self) {
            self.close_all();
            closed.set_value();
        });
        closed.get_future().wait();
    }

private:
    template<typename Task>
    void post(Task task)
    {
        asio::post(acceptor_.get_executor(),
                   [self = shared_from_this(), task = std::move(task)] { task(*self); });
    }

    void accept_next()
    {
        acceptor_.async_accept(
            [self = shared_from_this()](const error_code& error, asio::ip::tcp::socket socket) {
                if (!self->acceptor_.is_open()) {
                    return;
                }
                if (error) {
                    self->schedule_accept_retry();
                    return;
                }
                self->add(std::move(socket));
                self->accept_next();
            });
    }

    void schedule_accept_retry()
    {
        accept_retry_timer_.expires_after(accept_retry_delay);
        accept_retry_timer_.async_wait([self = shared_from_this()](const error_code& error) {
            if (!error) {
                self->accept_next();
            }
        });
    }

    void add(asio::ip::tcp::socket socket)
    {
        if (connections_.size() >= state_.limits.max_connections &&
            !state_.callers.make_room(std::chrono::steady_clock::now())) {
            if (state_.listener != nullptr) {
                state_.listener->on_connection_refused(
                    fmt::format("{} connections are open", connections_.size()));
            }
            return;
        }
        const auto connection = std::make_shared<http_connection>(
            std::move(socket), state_,
            [self = shared_from_this()](const std::shared_ptr<http_connection>& closed) {
                self->connections_.erase(closed);
            });
        connections_.insert(connection);
        connection->start();
    }

    void interrupt_requests()
    {
        for (const auto& connection : connections_) {
            connection->interrupt_requests();
        }
    }

    void close_all()
    {
        error_code ignored;
        acceptor_.close(ignored);
        accept_retry_timer_.cancel();
        // Closing a connection removes it.
        for (const auto& connection : std::set{connections_}) {
            connection->close();
        }
    }

    http_server_state state_;
    asio::ip::tcp::acceptor acceptor_;
    asio::steady_timer accept_retry_timer_;
    std::set<std::shared_ptr<http_connection>> connections_;
    bool running_{};
};

async_http_server::async_http_server(async_http_handler& handler, io_loop& loop,
                                     http_server_limits limits, http_server_listener* listener)
    : impl_{std::make_shared<impl>(handler, loop, limits, listener)}, drain_limit_{
                                                                          limits.drain_limit}
{
}

async_http_server::~async_http_server()
{
    stop();
}

outcome<bool> async_http_server::start(const network_endpoint& local)
{
    return impl_->listen(local);
}

void async_http_server::set_caller_limits(std::size_t max_body_bytes,
                                          std::chrono::seconds idle_timeout,
                                          std::chrono::milliseconds header_timeout)
{
    impl_->set_caller_limits(max_body_bytes, idle_timeout, header_timeout);
}

std::size_t async_http_server::held_bytes() const noexcept
{
    return impl_->held_bytes();
}

void async_http_server::stop()
{
    stop(drain_limit_);
}

void async_http_server::stop(std::chrono::milliseconds drain_limit)
{
    impl_->stop(drain_limit);
}

} // namespace savorywheel
