#include <savorywheel/core/thread_name.hpp>
#include <savorywheel/transport/asio_peer_network.hpp>
#include <savorywheel/transport/peer_connection.hpp>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>

namespace savorywheel {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using connection_pointer = std::shared_ptr<peer_connection>;

constexpr std::size_t max_incoming = 2048;
constexpr std::chrono::milliseconds accept_retry_delay{100};

} // namespace

/** Keeps the Boost.Asio types out of the header. */
class asio_peer_network::impl {
public:
    impl(frame_handler& handler, byte_meter& meter)
        : handler_{handler}, meter_{meter}, acceptor_{context_}
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
        accept_next();
        thread_ = std::thread{[this] {
            set_thread_name("streams");
            context_.run();
        }};
        return true;
    }

    void stop()
    {
        if (!thread_.joinable()) {
            return;
        }
        asio::post(context_, [this] { close_all(); });
        work_guard_.reset();
        thread_.join();
    }

    connection_pointer connection_to(const network_endpoint& peer)
    {
        const std::scoped_lock lock{mutex_};
        auto& slot = outgoing_[peer];
        if (slot && !slot->closed()) {
            return slot;
        }
        slot = std::make_shared<peer_connection>(
            context_, handler_, meter_, [this, peer](const connection_pointer& closed_connection) {
                const std::scoped_lock guard{mutex_};
                const auto found = outgoing_.find(peer);
                if (found != outgoing_.end() && found->second == closed_connection) {
                    outgoing_.erase(found);
                }
            });
        asio::post(context_,
                   [this, connection = slot, peer] { connection->connect(peer, local_address_); });
        return slot;
    }

private:
    void accept_next()
    {
        acceptor_.async_accept([this](const error_code& error, asio::ip::tcp::socket socket) {
            if (!acceptor_.is_open()) {
                return;
            }
            if (error) {
                schedule_accept_retry();
                return;
            }
            add_incoming(std::move(socket));
            accept_next();
        });
    }

    void schedule_accept_retry()
    {
        accept_retry_timer_.expires_after(accept_retry_delay);
        accept_retry_timer_.async_wait([this](const error_code& error) {
            if (!error) {
                accept_next();
            }
        });
    }

    void add_incoming(asio::ip::tcp::socket socket)
    {
        auto connection = std::make_shared<peer_connection>(
            context_, handler_, meter_, [this](const connection_pointer& closed_connection) {
                const std::scoped_lock lock{mutex_};
                incoming_.erase(closed_connection);
            });
        {
            const std::scoped_lock lock{mutex_};
            if (incoming_.size() >= max_incoming) {
                return;
            }
            incoming_.insert(connection);
        }
        connection->accept(std::move(socket));
    }

    void close_all()
    {
        error_code ignored;
        acceptor_.close(ignored);
        accept_retry_timer_.cancel();
        std::set<connection_pointer> all;
        {
            const std::scoped_lock lock{mutex_};
            all = incoming_;
            for (const auto& [peer, connection] : outgoing_) {
                all.insert(connection);
            }
        }
        for (const auto& connection : all) {
            connection->close_after_writing();
        }
    }

    frame_handler& handler_;
    byte_meter& meter_;
    std::string local_address_;
    asio::io_context context_;
    asio::executor_work_guard<asio::io_context::executor_type> work_guard_{
        asio::make_work_guard(context_)};
    asio::ip::tcp::acceptor acceptor_;
    asio::steady_timer accept_retry_timer_{context_};
    std::thread thread_;
    std::mutex mutex_;
    std::map<network_endpoint, connection_pointer> outgoing_;
    std::set<connection_pointer> incoming_;
};

asio_peer_network::asio_peer_network(frame_handler& handler, byte_meter& meter)
    : impl_{std::make_shared<impl>(handler, meter)}
{
}

asio_peer_network::~asio_peer_network()
{
    stop();
}

outcome<bool> asio_peer_network::start(const network_endpoint& local)
{
    return impl_->listen(local);
}

void asio_peer_network::stop()
{
    impl_->stop();
}

std::shared_ptr<frame_sink> asio_peer_network::connection_to(const network_endpoint& peer)
{
    return impl_->connection_to(peer);
}

} // namespace savorywheel
