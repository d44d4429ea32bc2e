#include <savorywheel/core/system_clock_source.hpp>
#include <savorywheel/transport/asio_peer_network.hpp>
#include <savorywheel/transport/peer_connection.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <utility>

namespace savorywheel {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using connection_pointer = std::shared_ptr<peer_connection>;

constexpr std::size_t max_incoming = 2048;
constexpr std::chrono::milliseconds accept_retry_delay{100};
/** Time for peers to read what is queued when the network stops. */
constexpr std::chrono::milliseconds flush_limit{500};

} // namespace

/** Keeps the Boost.Asio types out of the header. */
class asio_peer_network::impl : public std::enable_shared_from_this<impl> {
public:
    impl(frame_handler& handler, byte_meter& meter, io_loop& loop)
        : handler_{handler}, meter_{meter}, context_{loop.context()}
    {
    }

    outcome<bool> listen(const network_endpoint& local)
    {
        local_address_ = local.address;
        error_code error;
        const asio::ip::tcp::endpoint endpoint{asio::ip::make_address(local.address, error),
                                               local.port};
        if (!error) {
            acceptor_.open(endpoint.protocol(), error);
        }
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
        asio::post(context_, [self = shared_from_this()] { self->accept_next(); });
        started_ = true;
        return true;
    }

    void stop()
    {
        if (!std::exchange(started_, false)) {
            return;
        }
        asio::post(context_, [self = shared_from_this()] { self->close_all(); });
        std::unique_lock lock{mutex_};
        const auto all_closed = [this] { return closing_ && open_connections_ == 0; };
        if (!connection_closed_.wait_for(lock, flush_limit, all_closed)) {
            lock.unlock();
            asio::post(context_, [self = shared_from_this()] { self->interrupt_all(); });
            lock.lock();
            connection_closed_.wait(lock, all_closed);
        }
    }

    connection_pointer connection_to(const network_endpoint& peer)
    {
        const std::scoped_lock lock{mutex_};
        auto& slot = outgoing_[peer];
        if (slot && !slot->closed()) {
            return slot;
        }
        slot = std::make_shared<peer_connection>(
            context_, handler_, meter_,
            [self = shared_from_this(), peer](const connection_pointer& closed_connection) {
                const std::scoped_lock guard{self->mutex_};
                const auto found = self->outgoing_.find(peer);
                if (found != self->outgoing_.end() && found->second == closed_connection) {
                    self->outgoing_.erase(found);
                }
                self->count_closed();
            });
        ++open_connections_;
        if (closing_) {
            slot->close();
            return slot;
        }
        asio::post(context_, [self = shared_from_this(), connection = slot, peer] {
            connection->connect(peer, self->local_address_);
        });
        return slot;
    }

private:
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
                self->add_incoming(std::move(socket));
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

    void add_incoming(asio::ip::tcp::socket socket)
    {
        auto connection = std::make_shared<peer_connection>(
            context_, handler_, meter_,
            [self = shared_from_this()](const connection_pointer& closed_connection) {
                const std::scoped_lock lock{self->mutex_};
                self->incoming_.erase(closed_connection);
                self->count_closed();
            });
        {
            const std::scoped_lock lock{mutex_};
            if (incoming_.size() >= max_incoming) {
                return;
            }
            incoming_.insert(connection);
            ++open_connections_;
        }
        connection->accept(std::move(socket));
    }

    void close_all()
    {
        error_code ignored;
        acceptor_.close(ignored);
        accept_retry_timer_.cancel();
        {
            const std::scoped_lock lock{mutex_};
            closing_ = true;
        }
        for (const auto& connection : all_connections()) {
            connection->close_after_writing();
        }
        connection_closed_.notify_all();
    }

    /** Closes connections whose peers do not read what is queued for them. */
    void interrupt_all()
    {
        for (const auto& connection : all_connections()) {
            connection->close();
        }
    }

    [[nodiscard]] std::set<connection_pointer> all_connections()
    {
        const std::scoped_lock lock{mutex_};
        auto all = incoming_;
        for (const auto& [peer, connection] : outgoing_) {
            all.insert(connection);
        }
        return all;
    }

    /** Call with the mutex locked. */
    void count_closed()
    {
        --open_connections_;
        connection_closed_.notify_all();
    }

    frame_handler& handler_;
    byte_meter& meter_;
    std::string local_address_;
    asio::io_context& context_;
    asio::ip::tcp::acceptor acceptor_{context_};
    asio::steady_timer accept_retry_timer_{context_};
    bool started_{};
    std::mutex mutex_;
    std::condition_variable connection_closed_;
    std::size_t open_connections_{};
    bool closing_{};
    std::map<network_endpoint, connection_pointer> outgoing_;
    std::set<connection_pointer> incoming_;
};

/** Loop of a network that shares none. */
struct asio_peer_network::own_loop {
    system_clock_source time;
    io_loop loop{time};
};

asio_peer_network::asio_peer_network(frame_handler& handler, byte_meter& meter)
    : own_loop_{std::make_unique<own_loop>()}, impl_{std::make_shared<impl>(handler, meter,
                                                                            own_loop_->loop)}
{
}

asio_peer_network::asio_peer_network(frame_handler& handler, byte_meter& meter, io_loop& loop)
    : impl_{std::make_shared<impl>(handler, meter, loop)}
{
}

asio_peer_network::~asio_peer_network()
{
    stop();
}

outcome<bool> asio_peer_network::start(const network_endpoint& local)
{
    auto listening = impl_->listen(local);
    if (listening && own_loop_) {
        own_loop_->loop.start("streams");
    }
    return listening;
}

void asio_peer_network::stop()
{
    impl_->stop();
    if (own_loop_) {
        own_loop_->loop.stop();
    }
}

std::shared_ptr<frame_sink> asio_peer_network::connection_to(const network_endpoint& peer)
{
    return impl_->connection_to(peer);
}

} // namespace savorywheel
