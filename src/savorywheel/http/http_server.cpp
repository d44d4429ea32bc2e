#include <savorywheel/http/http_server.hpp>

#include <arpa/inet.h>
#include <ulfius.h>

#include <atomic>
#include <charconv>
#include <string>
#include <thread>

namespace savorywheel {

namespace {

constexpr int status_payload_too_large = 413;
constexpr std::chrono::milliseconds drain_poll_period{5};

std::string target_of(const _u_request& request)
{
    std::string target = request.url_path != nullptr ? request.url_path : "/";
    if (target.empty() || target.front() != '/') {
        target.insert(target.begin(), '/');
    }
    char separator = '?';
    const char** keys = u_map_enum_keys(request.map_url);
    for (std::size_t i = 0; keys != nullptr && keys[i] != nullptr; ++i) {
        const char* value = u_map_get(request.map_url, keys[i]);
        char* key_text = ulfius_url_encode(keys[i]);
        char* value_text = ulfius_url_encode(value != nullptr ? value : "");
        target += separator + std::string{key_text != nullptr ? key_text : ""} + '=' +
                  (value_text != nullptr ? value_text : "");
        u_free(key_text);
        u_free(value_text);
        separator = '&';
    }
    return target;
}

std::vector<http_header> headers_of(const _u_request& request)
{
    std::vector<http_header> headers;
    const char** keys = u_map_enum_keys(request.map_header);
    for (std::size_t i = 0; keys != nullptr && keys[i] != nullptr; ++i) {
        const char* value = u_map_get(request.map_header, keys[i]);
        headers.push_back({keys[i], value != nullptr ? value : ""});
    }
    return headers;
}

bool body_complete(const http_request& request)
{
    const auto announced = find_header(request.headers, "Content-Length");
    if (announced.empty()) {
        return true;
    }
    std::size_t length{};
    std::from_chars(announced.data(), announced.data() + announced.size(), length);
    return length == request.body.size();
}

void answer(_u_response& target, const http_response& source, bool closing)
{
    ulfius_set_binary_body_response(&target, static_cast<unsigned>(source.status),
                                    source.body.data(), source.body.size());
    for (const auto& header : source.headers) {
        u_map_put(target.map_header, header.name.c_str(), header.value.c_str());
    }
    if (closing) {
        u_map_put(target.map_header, "Connection", "close");
    }
}

} // namespace

/** Holds what the header hides, so that ulfius stays in this file. */
class http_server::state {
public:
    state(http_handler& handler, http_server_limits limits) : handler_{handler}, limits_{limits} {}

    outcome<bool> start(const network_endpoint& local)
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(local.port);
        if (inet_pton(AF_INET, local.address.c_str(), &address.sin_addr) != 1) {
            return failure{failure_code::invalid_argument, "not an IP number: " + local.address};
        }
        if (ulfius_init_instance(&instance_, local.port, &address, nullptr) != U_OK) {
            return failure{failure_code::unavailable, "ulfius refused its settings"};
        }
        initialized_ = true;
        instance_.max_post_body_size = limits_.max_body_bytes + 1;
        instance_.timeout = static_cast<unsigned>(limits_.idle_timeout.count());
        instance_.check_utf8 = 0;
        ulfius_add_endpoint_by_val(&instance_, "*", "", "/*", 0, &state::dispatch, this);
        ulfius_set_default_endpoint(&instance_, &state::dispatch, this);
        if (ulfius_start_framework(&instance_) != U_OK) {
            return failure{failure_code::unavailable, "cannot listen on " + to_string(local)};
        }
        running_ = true;
        return true;
    }

    void stop()
    {
        if (running_) {
            drain();
            ulfius_stop_framework(&instance_);
            running_ = false;
        }
        if (initialized_) {
            ulfius_clean_instance(&instance_);
            initialized_ = false;
        }
    }

private:
    void drain()
    {
        closing_ = true;
        const auto socket = MHD_quiesce_daemon(instance_.mhd_daemon);
        const auto limit = std::chrono::steady_clock::now() + limits_.drain_limit;
        while (in_progress_ > 0 && std::chrono::steady_clock::now() < limit) {
            std::this_thread::sleep_for(drain_poll_period);
        }
        if (socket != MHD_INVALID_SOCKET) {
            ::close(socket);
        }
    }

    static int dispatch(const _u_request* request, _u_response* response, void* self)
    {
        return static_cast<state*>(self)->serve(*request, *response);
    }

    int serve(const _u_request& source, _u_response& target)
    {
        ++in_progress_;
        http_request request;
        request.method = source.http_verb != nullptr ? source.http_verb : "";
        request.target = target_of(source);
        request.headers = headers_of(source);
        if (source.binary_body != nullptr) {
            request.body.assign(static_cast<const char*>(source.binary_body),
                                source.binary_body_length);
        }
        if (request.body.size() > limits_.max_body_bytes || !body_complete(request)) {
            answer(target, {status_payload_too_large, {}, "request body too large\n"}, closing_);
        }
        else {
            answer(target, handler_.handle(request), closing_);
        }
        --in_progress_;
        return U_CALLBACK_COMPLETE;
    }

    http_handler& handler_;
    http_server_limits limits_;
    _u_instance instance_{};
    bool initialized_{};
    bool running_{};
    std::atomic<bool> closing_{};
    std::atomic<int> in_progress_{};
};

http_server::http_server(http_handler& handler, http_server_limits limits)
    : state_{std::make_unique<state>(handler, limits)}
{
}

http_server::~http_server()
{
    stop();
}

outcome<bool> http_server::start(const network_endpoint& local)
{
    return state_->start(local);
}

void http_server::stop()
{
    state_->stop();
}

} // namespace savorywheel
