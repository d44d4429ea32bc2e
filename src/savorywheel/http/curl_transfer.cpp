#include <savorywheel/http/curl_transfer.hpp>
#include <savorywheel/http/http_status.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

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

std::string_view trim(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t\r\n");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
}

} // namespace

curl_transfer::curl_transfer(response_framing framing)
    : framing_{framing}, handle_{curl_easy_init()}, multi_{curl_multi_init()}
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
    headers_ended_ = false;
    curl_easy_reset(handle_);
    const auto url = "http://" + to_string(server);
    set_connection();
    set_request(request, url, timeout);
    auto* fields = make_fields(request);
    curl_easy_setopt(handle_, CURLOPT_HTTPHEADER, fields);
    const auto result = run(cancel_signal);
    curl_slist_free_all(fields);
    return make_result(result);
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
        if (!equal_ignoring_case(header.name, "Content-Length")) {
            fields = curl_slist_append(fields, (header.name + ": " + header.value).c_str());
        }
    }
    fields = curl_slist_append(fields, "Expect:");
    if (find_header(request.headers, "Content-Type").empty()) {
        fields = curl_slist_append(fields, "Content-Type:");
    }
    return fields;
}

outcome<http_response> curl_transfer::make_result(CURLcode result)
{
    if (result == CURLE_OK) {
        long status{};
        curl_easy_getinfo(handle_, CURLINFO_RESPONSE_CODE, &status);
        response_.status = static_cast<int>(status);
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
    if (result == CURLE_OPERATION_TIMEDOUT) {
        return failure{failure_code::timeout, message};
    }
    return failure{failure_code::unknown_outcome, message};
}

bool curl_transfer::is_complete() const
{
    if (!headers_ended_) {
        return false;
    }
    return framing_ == response_framing::allow_close_delimited || head_request_ ||
           response_.status == status_no_content || response_.status == status_not_modified ||
           !find_header(response_.headers, "Content-Length").empty() ||
           !find_header(response_.headers, "Transfer-Encoding").empty();
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

std::size_t curl_transfer::on_body(char* data, std::size_t size, std::size_t count, void* self)
{
    static_cast<curl_transfer*>(self)->response_.body.append(data, size * count);
    return size * count;
}

std::size_t curl_transfer::on_header(char* data, std::size_t size, std::size_t count, void* self)
{
    const std::string_view line{data, size * count};
    auto& headers = static_cast<curl_transfer*>(self)->response_.headers;
    const auto colon = line.find(':');
    if (line.starts_with("HTTP/")) {
        headers.clear();
        static_cast<curl_transfer*>(self)->headers_ended_ = false;
    }
    else if (trim(line).empty()) {
        static_cast<curl_transfer*>(self)->headers_ended_ = true;
    }
    else if (colon != std::string_view::npos) {
        headers.push_back(
            {std::string{trim(line.substr(0, colon))}, std::string{trim(line.substr(colon + 1))}});
    }
    return size * count;
}

} // namespace savorywheel
