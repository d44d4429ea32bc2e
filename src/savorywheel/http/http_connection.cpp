#include <savorywheel/http/http_connection.hpp>
#include <savorywheel/http/message_memory.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/write.hpp>
#include <fmt/format.h>

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
/** Objects of a connection, its timer and its socket in this process, in bytes. */
constexpr std::size_t connection_bytes = 4UL * 1024UL;
constexpr std::string_view interim_response = "HTTP/1.1 100 Continue\r\n\r\n";

} // namespace

http_connection::http_connection(asio::ip::tcp::socket socket, http_server_state& state,
                                 closed_callback closed)
    : socket_{std::move(socket)}, state_{state}, on_closed_{std::move(closed)}
{
}

void http_connection::start()
{
    error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay{true}, ignored);
    state_.monitor.adjust_connection_count(1);
    last_activity_ = steady_clock::now();
    ledger_id_ = state_.callers.add(*this, last_activity_);
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
    state_.callers.remove(ledger_id_);
    const auto in_flight = static_cast<int>(pipeline_.size()) + (message_ ? 1 : 0);
    state_.monitor.adjust_request_count(-in_flight);
    state_.monitor.adjust_connection_count(-1);
    error_code ignored;
    socket_.close(ignored);
    pipeline_.cancel_all();
    parser_.reset();
    on_closed_(shared_from_this());
}

void http_connection::evict()
{
    if (state_.listener != nullptr) {
        state_.listener->on_evicted(fmt::format(
            "{} bytes held, {} requests, receives {}, sends {}, without a byte for {} ms", held(),
            pipeline_.size(), parser_.has_value(), writing_,
            std::chrono::duration_cast<std::chrono::milliseconds>(steady_clock::now() -
                                                                  last_activity_)
                .count()));
    }
    close();
}

bool http_connection::receives_header() const
{
    return parser_ && !header_checked_ && pipeline_.empty() && !writing_;
}

caller_phase http_connection::phase() const
{
    if (writing_ || lingering_) {
        return caller_phase::sending;
    }
    if (!pipeline_.empty()) {
        return caller_phase::running;
    }
    return parser_ ? caller_phase::receiving : caller_phase::idle;
}

std::size_t http_connection::held() const
{
    return connection_bytes + buffer_.capacity() + (parser_ ? parser_->memory() : 0) +
           pipeline_.memory() + message_memory_;
}

std::size_t http_connection::read_ahead() const
{
    return buffer_.size() + (parser_ ? parser_->memory() : 0) + pipeline_.waiting_memory();
}

bool http_connection::account()
{
    if (closed_) {
        return false;
    }
    state_.callers.set_phase(ledger_id_, phase());
    return state_.callers.hold(ledger_id_, held(), memory_need::request, steady_clock::now());
}

void http_connection::restart_idle_timer()
{
    if (closed_ || lingering_) {
        return;
    }
    timer_ = state_.loop.after(time_left(), [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->check_idle();
        }
    });
}

duration http_connection::time_left() const
{
    const auto now = steady_clock::now();
    duration left = state_.limits.idle_timeout - (now - last_activity_);
    if (receives_header()) {
        left = std::min<duration>(left, state_.limits.header_timeout - (now - header_started_));
    }
    return std::max(left, duration::zero());
}

void http_connection::check_idle()
{
    const bool waits_for_handler = !pipeline_.empty() && !writing_;
    if (waits_for_handler) {
        last_activity_ = steady_clock::now();
    }
    if (time_left() == duration::zero()) {
        if (receives_header() && state_.listener != nullptr) {
            state_.listener->on_header_timeout(
                fmt::format("{} bytes of the header received", buffer_.size()));
        }
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
    if (closed_) {
        return;
    }
    const auto memory = memory_of(response);
    const auto total = held() - pipeline_.memory_of_request(id) + memory;
    if (!state_.callers.hold(ledger_id_, total, memory_need::response, steady_clock::now())) {
        // The request has run: no status would be right.
        evict();
        return;
    }
    pipeline_.set_response(id, std::move(response), memory);
    write_next();
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
    state.closes = state.closes || ((state_.closing || input_ended_) && pipeline_.empty());
    input_ended_ = input_ended_ || state.closes;
    message_memory_ = item->memory;
    message_.emplace(make_message(std::move(*item->response), state));
    serializer_.emplace(*message_);
    writing_ = true;
    state_.callers.set_phase(ledger_id_, phase());
    state_.callers.on_completed(ledger_id_, steady_clock::now());
    write_some(state.closes);
}

/** Writes what the caller's window takes, so that a slow reader is told from a stalled one. */
void http_connection::write_some(bool closes)
{
    http::async_write_some(
        socket_, *serializer_,
        [self = shared_from_this(), closes](const error_code& error, std::size_t bytes) {
            if (error || self->closed_ || self->serializer_->is_done()) {
                self->on_written(error, closes);
                return;
            }
            self->last_activity_ = steady_clock::now();
            self->state_.callers.on_transferred(self->ledger_id_, bytes, self->last_activity_);
            self->write_some(closes);
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
        serializer_.reset();
        message_.reset();
        message_memory_ = 0;
        state_.callers.on_completed(ledger_id_, steady_clock::now());
        state_.monitor.adjust_request_count(-1);
    }
    last_activity_ = steady_clock::now();
    if (closes || (input_ended_ && pipeline_.empty())) {
        linger();
        return;
    }
    write_next();
    write_continue();
    start_requests();
    parse();
    shrink_buffer();
    read();
    if (receives_header()) {
        // Nothing may have been read while the response was in progress.
        header_started_ = last_activity_;
        restart_idle_timer();
    }
    static_cast<void>(account());
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
