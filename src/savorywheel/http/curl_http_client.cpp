#include <savorywheel/http/curl_http_client.hpp>

#include <curl/curl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <string_view>
#include <utility>

namespace savorywheel {

namespace {

constexpr std::size_t max_idle_handles = 64;
constexpr long max_connect_milliseconds = 1000;
constexpr long max_idle_seconds = 20;
/** Finds a connection that went silent while a long watch waits on it. */
constexpr long keepalive_seconds = 1;
constexpr unsigned unacknowledged_milliseconds = 1500;
/** A process that ends resets the connections that its listener has not accepted. */
constexpr int probe_milliseconds = 50;
constexpr int max_wait_milliseconds = 60'000;
constexpr int status_no_content = 204;
constexpr int status_not_modified = 304;

/** Initializes libcurl once for the process. */
void initialize_library()
{
    static const auto result = curl_global_init(CURL_GLOBAL_DEFAULT);
    static_cast<void>(result);
}

std::string_view trim(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t\r\n");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
}

} // namespace

/** One libcurl handle with its kept connection. */
class curl_http_client::transfer {
public:
    transfer() : handle_{curl_easy_init()}, multi_{curl_multi_init()} {}
    transfer(const transfer&) = delete;
    transfer& operator=(const transfer&) = delete;
    transfer(transfer&&) = delete;
    transfer& operator=(transfer&&) = delete;
    ~transfer()
    {
        curl_easy_cleanup(handle_);
        curl_multi_cleanup(multi_);
    }

    outcome<http_response> perform(const network_endpoint& server, const http_request& request,
                                   std::chrono::milliseconds timeout, cancellation& stop)
    {
        response_ = {};
        sent_ = false;
        head_request_ = request.method == "HEAD";
        headers_ended_ = false;
        curl_easy_reset(handle_);
        const auto url = "http://" + to_string(server) + request.target;
        set_request(request, url, timeout);
        auto* fields = make_fields(request);
        curl_easy_setopt(handle_, CURLOPT_HTTPHEADER, fields);
        const auto result = run(stop);
        curl_slist_free_all(fields);
        return conclude(result);
    }

private:
    /** Drives the transfer until it ends or is cancelled; waits on its sockets between steps. */
    CURLcode run(cancellation& stop)
    {
        stop.set_wake([this] { curl_multi_wakeup(multi_); });
        curl_multi_add_handle(multi_, handle_);
        int running = 1;
        while (curl_multi_perform(multi_, &running) == CURLM_OK && running > 0 &&
               !stop.cancelled()) {
            curl_multi_poll(multi_, nullptr, 0, max_wait_milliseconds, nullptr);
        }
        auto result = CURLE_ABORTED_BY_CALLBACK;
        int left{};
        if (const auto* message = curl_multi_info_read(multi_, &left); message != nullptr) {
            result = message->data.result;
        }
        curl_multi_remove_handle(multi_, handle_);
        stop.set_wake({});
        return result;
    }

    void set_request(const http_request& request, const std::string& url,
                     std::chrono::milliseconds timeout)
    {
        curl_easy_setopt(handle_, CURLOPT_URL, url.c_str());
        curl_easy_setopt(handle_, CURLOPT_CUSTOMREQUEST, request.method.c_str());
        curl_easy_setopt(handle_, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(handle_, CURLOPT_TCP_NODELAY, 1L);
        curl_easy_setopt(handle_, CURLOPT_TCP_KEEPALIVE, 1L);
        curl_easy_setopt(handle_, CURLOPT_TCP_KEEPIDLE, keepalive_seconds);
        curl_easy_setopt(handle_, CURLOPT_TCP_KEEPINTVL, keepalive_seconds);
        curl_easy_setopt(handle_, CURLOPT_PATH_AS_IS, 1L);
        curl_easy_setopt(handle_, CURLOPT_PROXY, "");
        curl_easy_setopt(handle_, CURLOPT_TIMEOUT_MS, static_cast<long>(timeout.count()));
        curl_easy_setopt(handle_, CURLOPT_CONNECTTIMEOUT_MS, max_connect_milliseconds);
        curl_easy_setopt(handle_, CURLOPT_SOCKOPTFUNCTION, &transfer::on_socket);
        curl_easy_setopt(handle_, CURLOPT_MAXAGE_CONN, max_idle_seconds);
        curl_easy_setopt(handle_, CURLOPT_PREREQFUNCTION, &transfer::before_request);
        curl_easy_setopt(handle_, CURLOPT_PREREQDATA, this);
        curl_easy_setopt(handle_, CURLOPT_WRITEFUNCTION, &transfer::on_body);
        curl_easy_setopt(handle_, CURLOPT_WRITEDATA, this);
        curl_easy_setopt(handle_, CURLOPT_HEADERFUNCTION, &transfer::on_header);
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

    static curl_slist* make_fields(const http_request& request)
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

    outcome<http_response> conclude(CURLcode result)
    {
        if (result == CURLE_OK) {
            long status{};
            curl_easy_getinfo(handle_, CURLINFO_RESPONSE_CODE, &status);
            response_.status = static_cast<int>(status);
            if (!headers_ended_ || !length_known()) {
                return failure{failure_code::unknown_outcome,
                               "the answer may be cut: its length is not given"};
            }
            return std::move(response_);
        }
        const std::string message = curl_easy_strerror(result);
        if (!sent_) {
            return failure{failure_code::unavailable, message};
        }
        if (result == CURLE_OPERATION_TIMEDOUT) {
            return failure{failure_code::timeout, message};
        }
        return failure{failure_code::unknown_outcome, message};
    }

    /** A body that ends where the connection does cannot be told from one that was cut. */
    [[nodiscard]] bool length_known() const
    {
        return head_request_ || response_.status == status_no_content ||
               response_.status == status_not_modified ||
               !find_header(response_.headers, "Content-Length").empty() ||
               !find_header(response_.headers, "Transfer-Encoding").empty();
    }

    /** Libcurl repeats a request whose kept connection was closed; the second time is refused. */
    static int before_request(void* self, char* /*remote*/, char* /*local*/, int /*remote_port*/,
                              int /*local_port*/)
    {
        auto& sent = static_cast<transfer*>(self)->sent_;
        return std::exchange(sent, true) ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
    }

    /** Bytes that are not acknowledged in time end the connection. */
    static int on_socket(void* /*self*/, curl_socket_t socket, curlsocktype /*purpose*/)
    {
        ::setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged_milliseconds,
                     sizeof(unacknowledged_milliseconds));
        return CURL_SOCKOPT_OK;
    }

    static std::size_t on_body(char* data, std::size_t size, std::size_t count, void* self)
    {
        static_cast<transfer*>(self)->response_.body.append(data, size * count);
        return size * count;
    }

    static std::size_t on_header(char* data, std::size_t size, std::size_t count, void* self)
    {
        const std::string_view line{data, size * count};
        auto& headers = static_cast<transfer*>(self)->response_.headers;
        const auto colon = line.find(':');
        if (line.starts_with("HTTP/")) {
            headers.clear();
            static_cast<transfer*>(self)->headers_ended_ = false;
        }
        else if (trim(line).empty()) {
            static_cast<transfer*>(self)->headers_ended_ = true;
        }
        else if (colon != std::string_view::npos) {
            headers.push_back({std::string{trim(line.substr(0, colon))},
                               std::string{trim(line.substr(colon + 1))}});
        }
        return size * count;
    }

    CURL* handle_;
    CURLM* multi_;
    http_response response_;
    bool sent_{};
    bool head_request_{};
    bool headers_ended_{};
};

curl_http_client::curl_http_client()
{
    initialize_library();
}

curl_http_client::~curl_http_client() = default;

outcome<http_response> curl_http_client::send(const network_endpoint& server,
                                              const http_request& request,
                                              std::chrono::milliseconds timeout)
{
    cancellation stop;
    {
        const std::scoped_lock lock{mutex_};
        if (aborted_) {
            return failure{failure_code::unavailable, "the client was stopped"};
        }
        waiting_.insert(&stop);
    }
    auto result = send_until_cancelled(server, request, timeout, stop);
    const std::scoped_lock lock{mutex_};
    waiting_.erase(&stop);
    return result;
}

void curl_http_client::abort()
{
    const std::scoped_lock lock{mutex_};
    aborted_ = true;
    for (auto* stop : waiting_) {
        stop->cancel();
    }
}

outcome<http_response> curl_http_client::send_until_cancelled(const network_endpoint& server,
                                                              const http_request& request,
                                                              std::chrono::milliseconds timeout,
                                                              cancellation& stop)
{
    auto handle = borrow(server);
    auto result = handle->perform(server, request, timeout, stop);
    if (result) {
        give_back(server, std::move(handle));
    }
    else if (!stop.cancelled()) {
        // A failure may mean that the kept connections no longer carry data.
        close_idle(server);
    }
    return result;
}

bool curl_http_client::accepts_connections(const network_endpoint& server)
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
        open = ::poll(&connection, 1, probe_milliseconds) == 0;
    }
    curl_easy_cleanup(handle);
    return open;
}

std::unique_ptr<curl_http_client::transfer> curl_http_client::borrow(const network_endpoint& server)
{
    const std::scoped_lock lock{mutex_};
    auto& idle = idle_[server];
    if (idle.empty()) {
        return std::make_unique<transfer>();
    }
    auto handle = std::move(idle.back());
    idle.pop_back();
    return handle;
}

void curl_http_client::close_idle(const network_endpoint& server)
{
    std::vector<std::unique_ptr<transfer>> dropped;
    const std::scoped_lock lock{mutex_};
    dropped.swap(idle_[server]);
}

void curl_http_client::give_back(const network_endpoint& server, std::unique_ptr<transfer> handle)
{
    const std::scoped_lock lock{mutex_};
    auto& idle = idle_[server];
    if (idle.size() < max_idle_handles) {
        idle.push_back(std::move(handle));
    }
}

} // namespace savorywheel
