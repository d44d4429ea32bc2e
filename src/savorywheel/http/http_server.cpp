#include <savorywheel/http/body_check.hpp>
#include <savorywheel/http/drain_monitor.hpp>
#include <savorywheel/http/http_server.hpp>
#include <savorywheel/http/http_status.hpp>
#include <savorywheel/http/request_reader.hpp>

#include <arpa/inet.h>
#include <fmt/format.h>
#include <ulfius.h>

#include <array>
#include <atomic>
#include <cstdarg>
#include <cstdio>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace savorywheel {

namespace {

constexpr unsigned server_flags = MHD_USE_ERROR_LOG | MHD_USE_THREAD_PER_CONNECTION |
                                  MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_AUTO;

constexpr std::size_t max_message_bytes = 512;

/** The library's messages end with a line feed. */
void on_library_message(void* listener, const char* format, va_list values)
{
    std::array<char, max_message_bytes> buffer{};
    if (listener == nullptr) {
        return;
    }
    if (std::vsnprintf(buffer.data(), buffer.size(), format, values) <= 0) {
        return;
    }
    std::string_view message{buffer.data()};
    message = message.substr(0, message.find('\n'));
    static_cast<http_server_listener*>(listener)->on_library_error(message);
}

void on_connection(void* self, MHD_Connection* /*connection*/, void** /*context*/,
                   MHD_ConnectionNotificationCode code)
{
    static_cast<drain_monitor*>(self)->adjust_connection_count(
        code == MHD_CONNECTION_NOTIFY_CLOSED ? -1 : 1);
}

/** @return Response to a request whose body cannot be passed on. */
http_response reject_body(body_verdict verdict)
{
    switch (verdict) {
    case body_verdict::too_large:
        return {status_payload_too_large, {}, "request body too large\n"};
    case body_verdict::unbuffered:
        return {status_unavailable, {}, "request body too large for this node, not run\n"};
    default:
        return {status_bad_request, {}, "request body without a definite length\n"};
    }
}

void write_response(_u_response& target, const http_response& source, bool closing)
{
    // Ulfius rejects an empty body together with the status that is passed with it.
    target.status = source.status;
    if (!source.body.empty()) {
        ulfius_set_binary_body_response(&target, static_cast<unsigned>(source.status),
                                        source.body.data(), source.body.size());
    }
    for (const auto& header : source.headers) {
        u_map_put(target.map_header, header.name.c_str(), header.value.c_str());
    }
    if (closing) {
        u_map_put(target.map_header, "Connection", "close");
    }
}

} // namespace

/** Keeps the ulfius types out of the header. */
class http_server::impl {
public:
    impl(http_handler& handler, http_server_limits limits, http_server_listener* listener)
        : handler_{handler}, limits_{limits}, listener_{listener}
    {
    }

    outcome<bool> start(const network_endpoint& local)
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(local.port);
        if (inet_pton(AF_INET, local.address.c_str(), &address.sin_addr) != 1) {
            return failure{failure_code::invalid_argument, "not an IPv4 address: " + local.address};
        }
        if (ulfius_init_instance(&instance_, local.port, &address, nullptr) != U_OK) {
            return failure{failure_code::unavailable, "ulfius rejected its settings"};
        }
        initialized_ = true;
        instance_.max_post_body_size = limits_.max_buffered_body_bytes + 1;
        instance_.timeout = static_cast<unsigned>(limits_.idle_timeout.count());
        instance_.check_utf8 = 0;
        // Bodies are forwarded as they are; the library closes connections over forms it cannot
        // parse.
        instance_.allowed_post_processor = U_POST_PROCESS_NONE;
        ulfius_add_endpoint_by_val(&instance_, "*", "", "/*", 0, &impl::dispatch, this);
        ulfius_set_default_endpoint(&instance_, &impl::dispatch, this);
        if (!listen(address)) {
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
    [[nodiscard]] bool listen(sockaddr_in& address)
    {
        const auto to_option_value = [](auto* pointer) {
            return reinterpret_cast<intptr_t>(pointer);
        };
        // The option for messages comes first, so that it applies to errors in the others.
        std::array options{
            MHD_OptionItem{MHD_OPTION_EXTERNAL_LOGGER, to_option_value(&on_library_message),
                           listener_},
            MHD_OptionItem{MHD_OPTION_NOTIFY_COMPLETED, to_option_value(&mhd_request_completed),
                           nullptr},
            MHD_OptionItem{MHD_OPTION_URI_LOG_CALLBACK, to_option_value(&request_reader::on_target),
                           nullptr},
            MHD_OptionItem{MHD_OPTION_NOTIFY_CONNECTION, to_option_value(&on_connection),
                           &monitor_},
            MHD_OptionItem{MHD_OPTION_SOCK_ADDR, 0, &address},
            MHD_OptionItem{MHD_OPTION_CONNECTION_TIMEOUT,
                           static_cast<intptr_t>(limits_.idle_timeout.count()), nullptr},
            // The library reads into half of it; the rest holds its records of the fields.
            MHD_OptionItem{MHD_OPTION_CONNECTION_MEMORY_LIMIT,
                           static_cast<intptr_t>(2 * limits_.max_header_bytes), nullptr},
            MHD_OptionItem{MHD_OPTION_CONNECTION_LIMIT,
                           static_cast<intptr_t>(limits_.max_connections), nullptr},
            MHD_OptionItem{MHD_OPTION_END, 0, nullptr}};
        return ulfius_start_framework_with_mhd_options(&instance_, server_flags, options.data()) ==
               U_OK;
    }

    void drain()
    {
        closing_ = true;
        const auto socket = MHD_quiesce_daemon(instance_.mhd_daemon);
        static_cast<void>(monitor_.wait_until_idle(limits_.drain_limit, limits_.drain_idle));
        if (socket != MHD_INVALID_SOCKET) {
            ::close(socket);
        }
    }

    static int dispatch(const _u_request* request, _u_response* response, void* self)
    {
        return static_cast<impl*>(self)->serve(*request, *response);
    }

    int serve(const _u_request& source, _u_response& target)
    {
        monitor_.adjust_request_count(1);
        const auto request = request_reader::read(source);
        const auto verdict =
            check_body(request, limits_.max_body_bytes, limits_.max_buffered_body_bytes);
        if (verdict == body_verdict::complete) {
            write_response(target, handler_.handle(request), closing_);
        }
        else {
            const auto response = reject_body(verdict);
            report_rejection(request, response.status);
            // Behind a body without a definite length, the next request cannot be located.
            write_response(target, response, closing_ || verdict == body_verdict::misframed);
        }
        monitor_.adjust_request_count(-1);
        return U_CALLBACK_COMPLETE;
    }

    void report_rejection(const http_request& request, int status)
    {
        if (listener_ != nullptr) {
            listener_->on_rejected(
                status, request.target,
                fmt::format("{} bytes of the body received, announced {}, allowed {}, buffered {}",
                            request.body.size(), find_header(request.headers, "Content-Length"),
                            limits_.max_body_bytes, limits_.max_buffered_body_bytes));
        }
    }

    http_handler& handler_;
    http_server_limits limits_;
    http_server_listener* listener_;
    _u_instance instance_{};
    bool initialized_{};
    bool running_{};
    std::atomic<bool> closing_{};
    drain_monitor monitor_;
};

http_server::http_server(http_handler& handler, http_server_limits limits,
                         http_server_listener* listener)
    : impl_{std::make_unique<impl>(handler, limits, listener)}
{
}

http_server::~http_server()
{
    stop();
}

outcome<bool> http_server::start(const network_endpoint& local)
{
    return impl_->start(local);
}

void http_server::stop()
{
    impl_->stop();
}

} // namespace savorywheel
