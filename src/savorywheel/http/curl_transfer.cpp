#include <savorywheel/http/curl_transfer.hpp>
#include <savorywheel/http/http_status.hpp>

#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace savorywheel {

namespace {

constexpr long max_connect_milliseconds = 1000;
constexpr long max_idle_seconds = 20;
/** Detects a dead connection during a long poll, which sends no data. */
constexpr long tcp_keepalive_seconds = 1;
constexpr unsigned tcp_user_timeout_milliseconds = 1500;
/** Wait after connecting, because an exiting process resets connections it has not accepted. */
constexpr int close_wait_milliseconds = 50;
constexpr int max_poll_milliseconds = 60'000;

/** An expectation is met before the request is forwarded, since its body is complete. */
bool set_by_transfer(const http_header& header)
{
    return equal_ignoring_case(header.name, "Content-Length") ||
           equal_ignoring_case(header.name, "Expect");
}

bool contains(std::span<const http_header> headers, std::string_view name)
{
    return std::ranges::any_of(headers, [name](const http_header& header) {
        return equal_ignoring_case(header.name, name);
    });
}

} // namespace

curl_transfer::curl_transfer(response_framing framing, const http_client_limits& limits,
                             byte_budget& buffered)
    : framing_{framing}, limits_{limits}, buffered_{buffered}, handle_{curl_easy_init()},
      multi_{curl_multi_init()}, head_{limits}
{
}

curl_transfer::~curl_transfer()
{
    curl_easy_cleanup(handle_);
    curl_multi_cleanup(multi_);
}

outcome<http_response> curl_transfer::perform(const network_endpoint& server,
                                              const http_request& request,
                                              std::chrono::milliseconds timeout,
                                              cancellation& cancel_signal)
{
    response_ = {};
    request_sent_ = false;
    head_request_ = request.method == "HEAD";
    head_ = response_head{limits_};
    violation_.clear();
    curl_easy_reset(handle_);
    const auto url = "http://" + to_string(server);
    set_connection();
    set_request(request, url, timeout);
    auto* fields = make_fields(request);
    curl_easy_setopt(handle_, CURLOPT_HTTPHEADER, fields);
    const auto result = run(cancel_signal);
    curl_slist_free_all(fields);
    auto made = make_result(result);
    // Assigning an empty body would keep its memory.
    static_cast<void>(std::exchange(response_, {}));
    buffered_.give_back(std::exchange(taken_, 0));
    return made;
}

bool curl_transfer::accepts_connections(const network_endpoint& server)
{
    auto* handle = curl_easy_init();
    const auto url = "http://" + to_string(server);
    curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_CONNECT_ONLY, 1L);
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, max_connect_milliseconds);
    bool open = curl_easy_perform(handle) == CURLE_OK;
    if (open) {
        pollfd connection{CURL_SOCKET_BAD, POLLIN, 0};
        curl_easy_getinfo(handle, CURLINFO_ACTIVESOCKET, &connection.fd);
        open = ::poll(&connection, 1, close_wait_milliseconds) == 0;
    }
    curl_easy_cleanup(handle);
    return open;
}

CURLcode curl_transfer::run(cancellation& cancel_signal)
{
    cancel_signal.set_callback([this] { curl_multi_wakeup(multi_); });
    curl_multi_add_handle(multi_, handle_);
    int running = 1;
    while (curl_multi_perform(multi_, &running) == CURLM_OK && running > 0 &&
           !cancel_signal.cancelled()) {
        curl_multi_poll(multi_, nullptr, 0, max_poll_milliseconds, nullptr);
    }
    auto result = CURLE_ABORTED_BY_CALLBACK;
    int messages_left{};
    if (const auto* message = curl_multi_info_read(multi_, &messages_left); message != nullptr) {
        result = message->data.result;
    }
    curl_multi_remove_handle(multi_, handle_);
    cancel_signal.set_callback({});
    return result;
}

void curl_transfer::set_request(const http_request& request, const std::string& url,
                                std::chrono::milliseconds timeout)
{
    curl_easy_setopt(handle_, CURLOPT_URL, url.c_str());
    // As part of a URL, the target would lose its fragment, and other bytes would be encoded.
    curl_easy_setopt(handle_, CURLOPT_REQUEST_TARGET, request.target.c_str());
    curl_easy_setopt(handle_, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    curl_easy_setopt(handle_, CURLOPT_TIMEOUT_MS, static_cast<long>(timeout.count()));
    curl_easy_setopt(handle_, CURLOPT_WRITEFUNCTION, &curl_transfer::on_body);
    curl_easy_setopt(handle_, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(handle_, CURLOPT_HEADERFUNCTION, &curl_transfer::on_header);
    curl_easy_setopt(handle_, CURLOPT_HEADERDATA, this);
    if (request.method == "HEAD") {
        curl_easy_setopt(handle_, CURLOPT_NOBODY, 1L);
    }
    else if (!request.body.empty() || request.method == "POST" || request.method == "PUT") {
        curl_easy_setopt(handle_, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(request.body.size()));
        curl_easy_setopt(handle_, CURLOPT_POSTFIELDS, request.body.data());
    }
}

void curl_transfer::set_connection()
{
    curl_easy_setopt(handle_, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle_, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(handle_, CURLOPT_TCP_KEEPALIVE, 1L);
    curl_easy_setopt(handle_, CURLOPT_TCP_KEEPIDLE, tcp_keepalive_seconds);
    curl_easy_setopt(handle_, CURLOPT_TCP_KEEPINTVL, tcp_keepalive_seconds);
    curl_easy_setopt(handle_, CURLOPT_PROXY, "");
    curl_easy_setopt(handle_, CURLOPT_CONNECTTIMEOUT_MS, max_connect_milliseconds);
    curl_easy_setopt(handle_, CURLOPT_SOCKOPTFUNCTION, &curl_transfer::on_socket);
    curl_easy_setopt(handle_, CURLOPT_MAXAGE_CONN, max_idle_seconds);
    curl_easy_setopt(handle_, CURLOPT_PREREQFUNCTION, &curl_transfer::before_request);
    curl_easy_setopt(handle_, CURLOPT_PREREQDATA, this);
}

curl_slist* curl_transfer::make_fields(const http_request& request)
{
    curl_slist* fields = nullptr;
    for (const auto& header : request.headers) {
        if (!set_by_transfer(header)) {
            // The library removes a field with an empty value unless a semicolon ends its name.
            const auto field =
                header.value.empty() ? header.name + ";" : header.name + ": " + header.value;
            fields = curl_slist_append(fields, field.c_str());
        }
    }
    fields = curl_slist_append(fields, "Expect:");
    for (const std::string name : {"Accept", "Content-Type"}) {
        if (!contains(request.headers, name)) {
            fields = curl_slist_append(fields, (name + ":").c_str());
        }
    }
    return fields;
}

outcome<http_response> curl_transfer::make_result(CURLcode result)
{
    const bool upload_failed = result == CURLE_SEND_ERROR || result == CURLE_OPERATION_TIMEDOUT;
    // A server may respond before it has read the whole request; libcurl closes the connection.
    if (result == CURLE_OK || (upload_failed && has_whole_body())) {
        long status{};
        curl_easy_getinfo(handle_, CURLINFO_RESPONSE_CODE, &status);
        response_.status = static_cast<int>(status);
        response_.headers = head_.take_fields();
        long new_connections{};
        curl_easy_getinfo(handle_, CURLINFO_NUM_CONNECTS, &new_connections);
        response_.first_on_connection = new_connections > 0;
        if (!is_complete()) {
            return failure{failure_code::unknown_outcome,
                           "the answer may be cut: its length is not given"};
        }
        return std::move(response_);
    }
    const std::string message = curl_easy_strerror(result);
    if (!request_sent_) {
        return failure{failure_code::unavailable, message};
    }
    if (!violation_.empty()) {
        return failure{failure_code::unknown_outcome, violation_};
    }
    if (result == CURLE_OPERATION_TIMEDOUT) {
        return failure{failure_code::timeout, message};
    }
    return failure{failure_code::unknown_outcome, message};
}

bool curl_transfer::is_complete() const
{
    if (!head_.complete()) {
        return false;
    }
    return framing_ == response_framing::allow_close_delimited || head_request_ ||
           response_.status == status_no_content || response_.status == status_not_modified ||
           !find_header(response_.headers, "Content-Length").empty() ||
           !find_header(response_.headers, "Transfer-Encoding").empty();
}

bool curl_transfer::has_whole_body() const
{
    return head_.complete() && !head_request_ &&
           find_header(head_.fields(), "Transfer-Encoding").empty() &&
           find_header(head_.fields(), "Content-Length") == std::to_string(response_.body.size());
}

int curl_transfer::before_request(void* self, char* /*remote*/, char* /*local*/,
                                  int /*remote_port*/, int /*local_port*/)
{
    auto& sent = static_cast<curl_transfer*>(self)->request_sent_;
    return std::exchange(sent, true) ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

int curl_transfer::on_socket(void* /*self*/, curl_socket_t socket, curlsocktype /*purpose*/)
{
    ::setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &tcp_user_timeout_milliseconds,
                 sizeof(tcp_user_timeout_milliseconds));
    return CURL_SOCKOPT_OK;
}

bool curl_transfer::add_body(std::string_view bytes)
{
    if (!head_.complete()) {
        violation_ = "the response has no final header";
    }
    else if (!reserve_body(bytes.size())) {
        violation_ =
            fmt::format("the responses being received exceed {} bytes", limits_.max_buffered_bytes);
    }
    else if (response_.body.size() + bytes.size() > limits_.max_body_bytes) {
        violation_ = fmt::format("the response's body exceeds {} bytes", limits_.max_body_bytes);
    }
    else {
        response_.body.append(bytes);
    }
    return violation_.empty();
}

bool curl_transfer::reserve_body(std::size_t bytes)
{
    auto& body = response_.body;
    const auto needed = std::min(body.size() + bytes, limits_.max_body_bytes);
    if (needed <= body.capacity()) {
        return true;
    }
    const auto capacity = std::min(std::max(needed, 2 * body.capacity()), limits_.max_body_bytes);
    if (capacity <= limits_.unbudgeted_body_bytes) {
        body.reserve(capacity);
        return true;
    }
    // A body without a stated length may be endless, so the copy made while it grows counts as
    // well.
    const bool counts_copy = find_header(head_.fields(), "Content-Length").empty();
    const auto added = counts_copy ? capacity : capacity - taken_;
    if (!buffered_.try_take(added)) {
        return false;
    }
    body.reserve(capacity);
    buffered_.give_back(counts_copy ? taken_ : 0);
    taken_ = capacity;
    return true;
}

std::size_t curl_transfer::on_body(char* data, std::size_t size, std::size_t count, void* self)
{
    // libcurl ends the transfer and closes its connection if less than all bytes are accepted.
    return static_cast<curl_transfer*>(self)->add_body({data, size * count}) ? size * count : 0;
}

std::size_t curl_transfer::on_header(char* data, std::size_t size, std::size_t count, void* self)
{
    auto& transfer = *static_cast<curl_transfer*>(self);
    if (transfer.head_.add_line({data, size * count})) {
        return size * count;
    }
    transfer.violation_ =
        transfer.head_.has_valid_status()
            ? fmt::format("the response's header exceeds {} bytes or {} interim responses",
                          transfer.limits_.max_header_bytes, transfer.limits_.max_interim_responses)
            : "the response has no valid status";
    return 0;
}

} // namespace savorywheel
