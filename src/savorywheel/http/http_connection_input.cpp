#include <savorywheel/http/body_check.hpp>
#include <savorywheel/http/http_connection.hpp>
#include <savorywheel/http/http_status.hpp>
#include <savorywheel/http/oversized_length.hpp>
#include <savorywheel/http/request_target.hpp>

#include <boost/beast/http/error.hpp>
#include <fmt/format.h>
#include <sys/socket.h>

#include <cerrno>
#include <chrono>
#include <utility>

namespace savorywheel {

namespace {

namespace http = boost::beast::http;
using std::chrono::steady_clock;

constexpr std::size_t min_read_bytes = 4UL * 1024UL;
constexpr std::size_t body_read_bytes = 32UL * 1024UL;
/** Requests of one connection in progress or with a response that waits for its turn. */
constexpr std::size_t max_pipelined_requests = 16;
/** Body of a rejected request that is read to keep the connection usable. */
constexpr std::size_t max_discarded_bytes = 1024UL * 1024UL;
/** Memory of what one connection reads ahead of its requests in progress, in bytes: enough to
 * keep a pipeline of ordinary requests going. */
constexpr std::size_t max_read_ahead_bytes = 64UL * 1024UL;
constexpr std::string_view no_memory = "this node has no memory for the request, not run\n";

std::string_view text_of(const boost::beast::flat_buffer& buffer)
{
    return {static_cast<const char*>(buffer.data().data()), buffer.size()};
}

} // namespace

void http_connection::read()
{
    const bool is_ahead = !pipeline_.empty() && read_ahead() > max_read_ahead_bytes;
    if (reading_ || closed_ || is_ahead || buffer_.size() > state_.limits.max_header_bytes) {
        return;
    }
    const auto size = header_checked_ ? body_read_bytes : min_read_bytes;
    const auto space = buffer_.prepare(size);
    if (!account()) {
        // Reads again after a response, if there will be one.
        if (pipeline_.empty() && !writing_) {
            evict();
        }
        return;
    }
    reading_ = true;
    socket_.async_read_some(
        space, [self = shared_from_this()](const error_code& error, std::size_t bytes) {
            self->on_read(error, bytes);
        });
}

void http_connection::on_read(const error_code& error, std::size_t bytes)
{
    reading_ = false;
    if (closed_) {
        return;
    }
    if (error) {
        close();
        return;
    }
    buffer_.commit(bytes);
    last_activity_ = steady_clock::now();
    state_.callers.on_transferred(ledger_id_, bytes, last_activity_);
    const bool received_header = receives_header();
    parse();
    read();
    if (receives_header() && !received_header) {
        restart_idle_timer();
    }
    static_cast<void>(account());
}

void http_connection::parse()
{
    while (!closed_ && !input_ended_ && parse_some()) {
    }
    if (input_ended_) {
        buffer_.consume(buffer_.size());
    }
}

bool http_connection::parse_some()
{
    if (!parser_ && !begin_request()) {
        return false;
    }
    error_code error;
    const auto used = parser_->put(buffer_.data(), error);
    if (error && error != http::error::need_more) {
        reject_malformed(error);
        return false;
    }
    buffer_.consume(used);
    if (!header_checked_ && parser_->is_header_done()) {
        header_checked_ = true;
        on_header();
    }
    if (input_ended_) {
        return false;
    }
    on_body_received();
    if (input_ended_) {
        return false;
    }
    if (parser_->is_done()) {
        on_request();
        return true;
    }
    return !error && used > 0;
}

bool http_connection::begin_request()
{
    // Empty lines before a request are ignored (RFC 9112, 2.2).
    while (text_of(buffer_).starts_with("\r\n")) {
        buffer_.consume(2);
    }
    const bool has_input = buffer_.size() > 0 && text_of(buffer_) != "\r";
    const bool waits_to_close = state_.closing && !pipeline_.empty();
    const bool is_ahead = !pipeline_.empty() && pipeline_.waiting_memory() > max_read_ahead_bytes;
    if (!has_input || waits_to_close || is_ahead || pipeline_.size() >= max_pipelined_requests) {
        return false;
    }
    header_started_ = steady_clock::now();
    if (pipeline_.empty() && !writing_) {
        // The time since the last response was spent idle, not within this request.
        state_.callers.on_completed(ledger_id_, header_started_);
    }
    parser_.emplace(state_.limits.max_header_bytes, state_.limits.max_buffered_body_bytes + 1);
    header_checked_ = false;
    rejected_ = false;
    return true;
}

void http_connection::on_header()
{
    const auto announced = parser_->announced_bytes().value_or(0);
    if (!parser_->has_known_framing()) {
        reject(status_bad_request, "the end of the body is not known\n");
        input_ended_ = true;
    }
    else if (announced > state_.limits.max_body_bytes) {
        reject(status_payload_too_large, "request body too large\n");
    }
    else if (announced > state_.limits.max_buffered_body_bytes && !state_.limits.discards_bodies) {
        reject(status_unavailable, "request body too large for this node, not run\n");
    }
    else if (!account()) {
        reject_for_memory();
    }
    else if (parser_->expects_continue() && !parser_->is_done()) {
        continue_due_ = true;
        write_continue();
    }
}

/** The memory of a body is taken as it arrives: what a caller only announces costs nothing. */
void http_connection::on_body_received()
{
    const auto received = parser_->received_bytes();
    if (rejected_) {
        if (received > max_discarded_bytes) {
            end_input();
        }
        return;
    }
    if (!header_checked_) {
        return;
    }
    if (state_.limits.discards_bodies) {
        parser_->discard_body();
    }
    const auto limit = state_.limits.discards_bodies ? state_.limits.max_body_bytes
                                                     : state_.limits.max_buffered_body_bytes;
    if (received > limit && received - limit > max_discarded_bytes) {
        input_ended_ = true;
        if (received > state_.limits.max_body_bytes) {
            reject(status_payload_too_large, "request body too large\n");
        }
        else {
            reject(status_unavailable, "request body too large for this node, not run\n");
        }
    }
    else if (!account()) {
        reject_for_memory();
    }
}

/** Closes the connection after the responses that are due; the rest of the body is too long. */
void http_connection::end_input()
{
    input_ended_ = true;
    if (pipeline_.empty() && !writing_) {
        linger();
    }
}

void http_connection::reject_for_memory()
{
    if (state_.listener != nullptr) {
        state_.listener->on_out_of_memory(
            fmt::format("{} bytes held for this caller, {} for all, allowed {}", held(),
                        state_.callers.held(), state_.limits.max_memory_bytes));
    }
    reject(status_unavailable, no_memory);
}

/** True if the caller has closed the connection and nothing before that remains to be read. */
bool http_connection::caller_has_left()
{
    char next{};
    const auto received = ::recv(socket_.native_handle(), &next, 1, MSG_PEEK | MSG_DONTWAIT);
    return received == 0 || (received < 0 && errno == ECONNRESET);
}

void http_connection::on_request()
{
    // A busy thread may read a request and the end of its connection together.
    if (caller_has_left()) {
        close();
        return;
    }
    if (!rejected_) {
        const auto verdict = state_.limits.discards_bodies
                                 ? body_verdict::complete
                                 : check_body(parser_->request(), state_.limits.max_body_bytes,
                                              state_.limits.max_buffered_body_bytes);
        switch (verdict) {
        case body_verdict::complete: {
            pipelined_request item;
            item.conditions = conditions();
            item.memory = parser_->memory();
            item.request = std::move(parser_->request());
            item.is_safe = is_safe_method(item.request.method);
            make_origin_form(item.request);
            input_ended_ = item.conditions.closes;
            push(std::move(item));
            break;
        }
        case body_verdict::too_large:
            reject(status_payload_too_large, "request body too large\n");
            break;
        case body_verdict::unbuffered:
            reject(status_unavailable, "request body too large for this node, not run\n");
            break;
        default:
            reject(status_bad_request, "request body without a definite length\n");
            input_ended_ = true;
            break;
        }
    }
    continue_due_ = false;
    header_checked_ = false;
    parser_.reset();
    start_requests();
    write_next();
}

/** Responds in place of the handler; the rest of the body is discarded. */
void http_connection::reject(int status, std::string_view explanation)
{
    rejected_ = true;
    auto& request = parser_->request();
    const auto announced = parser_->announced_bytes().value_or(0);
    if (state_.listener != nullptr) {
        state_.listener->on_rejected(
            status, request.target,
            fmt::format("{} bytes of the body received, announced {}, allowed {}, buffered {}",
                        request.body.size(), find_header(request.headers, "Content-Length"),
                        state_.limits.max_body_bytes, state_.limits.max_buffered_body_bytes));
    }
    pipelined_request item;
    item.conditions = conditions();
    parser_->discard_body();
    parser_->discard_headers();
    item.conditions.closes = input_ended_ || item.conditions.closes ||
                             announced > max_discarded_bytes || status == status_bad_request;
    item.is_safe = true;
    item.response = http_response{status, {}, std::string{explanation}};
    input_ended_ = item.conditions.closes;
    push(std::move(item));
    write_next();
}

/** Behind a malformed request, the next one cannot be located. */
void http_connection::reject_malformed(const error_code& error)
{
    int status = status_bad_request;
    if (error == http::error::header_limit) {
        status = status_header_too_large;
    }
    else if (error == http::error::bad_content_length && has_oversized_length(text_of(buffer_))) {
        status = status_payload_too_large;
    }
    if (state_.listener != nullptr) {
        state_.listener->on_library_error(
            fmt::format("malformed request, status {}: {}", status, error.message()));
    }
    pipelined_request item;
    item.conditions.closes = true;
    item.is_safe = true;
    item.response = http_response{status, {}, error.message() + "\n"};
    input_ended_ = true;
    parser_.reset();
    push(std::move(item));
    write_next();
}

response_conditions http_connection::conditions() const
{
    response_conditions result;
    result.closes = !parser_->keep_alive();
    result.confirms_keep_alive = parser_->keep_alive() && parser_->is_http_1_0();
    result.head_request = parser_->is_head();
    return result;
}

} // namespace savorywheel
