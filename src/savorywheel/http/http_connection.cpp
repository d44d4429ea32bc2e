#include <savorywheel/http/http_connection.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace savorywheel {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using std::chrono::steady_clock;

/** Size up to which an empty buffer is kept. */
constexpr std::size_t max_idle_buffer_bytes = 8UL * 1024UL;
/** Time for the caller to read the last response; closing with unread input could destroy it. */
constexpr std::chrono::milliseconds linger_time{1000};
constexpr std::string_view interim_response = "HTTP/1.1 100 Continue\r\n\r\n";

} // namespace

http_connection::http_connection(asio::ip::tcp::socket socket, http_server_state& state,
                                 closed_callback closed)
    : socket_{std::move(socket)}, state_{state}, on_closed_{std::move(closed)}, body_memory_{
                                                                                    state.bodies}
{
}

void http_connection::start()
{
    error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay{true}, ignored);
    state_.monitor.adjust_connection_count(1);
    last_activity_ = steady_clock::now();
    restart_idle_timer();
    read();
}

void http_connection::interrupt_requests()
{
    pipeline_.interrupt_all();
}

void http_connection::close()
{
    if (std::exchange(closed_, true)) {
        return;
    }
    timer_.reset();
    const auto in_flight = static_cast<int>(pipeline_.size()) + (message_ ? 1 : 0);
    state_.monitor.adjust_request_count(-in_flight);
    state_.monitor.adjust_connection_count(-1);
    error_code ignored;
    socket_.close(ignored);
    pipeline_.cancel_all();
    on_closed_(shared_from_this());
}

void http_connection::restart_idle_timer()
{
    if (closed_ || lingering_) {
        return;
    }
    const auto idle = steady_clock::now() - last_activity_;
    const auto left = std::max<duration>(state_.limits.idle_timeout - idle, duration::zero());
    timer_ = state_.loop.after(left, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->check_idle();
        }
    });
}

void http_connection::check_idle()
{
    const bool waits_for_handler = !pipeline_.empty() && !writing_;
    if (waits_for_handler) {
        last_activity_ = steady_clock::now();
    }
    if (steady_clock::now() - last_activity_ >= state_.limits.idle_timeout) {
        close();
        return;
    }
    restart_idle_timer();
}

void http_connection::push(pipelined_request item)
{
    state_.monitor.adjust_request_count(1);
    pipeline_.push(std::move(item));
}

void http_connection::start_requests()
{
    while (auto* item = pipeline_.start_next()) {
        const auto respond = [weak = weak_from_this(), id = item->id,
                              executor = socket_.get_executor()](http_response response) {
            asio::dispatch(executor, [weak, id, item = std::move(response)]() mutable {
                if (const auto self = weak.lock()) {
                    self->on_response(id, std::move(item));
                }
            });
        };
        const auto cancel_signal = item->cancel_signal;
        state_.handler.start(std::move(item->request), cancel_signal, respond);
    }
}

void http_connection::on_response(std::uint64_t id, http_response response)
{
    if (!closed_) {
        pipeline_.set_response(id, std::move(response));
        write_next();
    }
}

void http_connection::write_continue()
{
    if (!continue_due_ || writing_ || !pipeline_.empty()) {
        return;
    }
    continue_due_ = false;
    writing_ = true;
    asio::async_write(socket_, asio::buffer(interim_response),
                      [self = shared_from_this()](const error_code& error, std::size_t) {
                          self->on_written(error, false);
                      });
}

void http_connection::write_next()
{
    if (writing_ || closed_) {
        return;
    }
    auto item = pipeline_.pop_answered();
    if (!item) {
        return;
    }
    auto& state = item->conditions;
    state.closes = state.closes || (state_.closing && pipeline_.empty());
    input_ended_ = input_ended_ || state.closes;
    message_.emplace(make_message(std::move(*item->response), state));
    writing_ = true;
    http::async_write(
        socket_, *message_,
        [self = shared_from_this(), closes = state.closes](const error_code& error, std::size_t) {
            self->on_written(error, closes);
        });
}

void http_connection::on_written(const error_code& error, bool closes)
{
    writing_ = false;
    if (closed_) {
        return;
    }
    if (error) {
        close();
        return;
    }
    if (message_) {
        message_.reset();
        state_.monitor.adjust_request_count(-1);
    }
    last_activity_ = steady_clock::now();
    if (closes) {
        linger();
        return;
    }
    write_next();
    write_continue();
    start_requests();
    parse();
    shrink_buffer();
    read();
}

void http_connection::linger()
{
    lingering_ = true;
    error_code ignored;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    timer_ = state_.loop.after(linger_time, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->close();
        }
    });
    parse();
    read();
}

void http_connection::shrink_buffer()
{
    // While a read is pending, the buffer's memory is in use.
    if (!reading_ && buffer_.size() == 0 && buffer_.capacity() > max_idle_buffer_bytes) {
        buffer_.shrink_to_fit();
    }
}

} // namespace savorywheel
