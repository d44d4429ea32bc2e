#include <savorywheel/traffic/backend_client.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace savorywheel {

void backend_client::add_crash_reports(std::span<const crash_report> reports)
{
    const std::scoped_lock lock{mutex_};
    for (const auto& report : reports) {
        crashing_requests_.add(report, environment_.time.now());
    }
}

std::vector<crash_report> backend_client::crash_reports_of(const service_name& service) const
{
    const std::scoped_lock lock{mutex_};
    return crashing_requests_.reports_of(service, environment_.time.now());
}

bool backend_client::is_blocked(request_digest digest) const
{
    const std::scoped_lock lock{mutex_};
    return crashing_requests_.is_blocked(digest, environment_.time.now());
}

call_response backend_client::run(gate_call& item, const backend_server& backend)
{
    const auto remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(item.deadline - item.started);
    if (remaining.count() <= 0) {
        return call_response::not_run(call_refusal::expired, "the deadline passed");
    }
    auto& request = item.call.request;
    environment_.header_codec.add_headers(request, backend, remaining);
    auto answer = environment_.client.send_until_cancelled(backend.endpoint, request, remaining,
                                                           item.cancel_signal);
    if (!answer) {
        return handle_failure(item, backend, answer.reason());
    }
    auto response = accept_response(item, backend, std::move(*answer));
    if (response.result == call_result::answered) {
        const std::scoped_lock lock{mutex_};
        crashing_requests_.clear(item.digest, item.started);
        answered_.add(item.digest);
    }
    return response;
}

call_response backend_client::accept_response(gate_call& item, const backend_server& backend,
                                              http_response answer)
{
    const auto& request = item.call.request;
    const auto verdict = environment_.header_codec.verify(request, answer);
    item.received = {answer.status, environment_.header_codec.origin_of(request, answer)};
    ++responses_.at(
        static_cast<std::size_t>(classify(verdict, answer.status, item.received->origin)));
    switch (verdict) {
    case response_verdict::complete:
        return {call_result::answered, call_refusal::none, {}, std::move(answer), true};
    case response_verdict::not_run: {
        if (item.received->origin.request != named_request::own) {
            // A later response on the connection could not be told from this one.
            environment_.client.close_idle(backend.endpoint);
        }
        auto refusal = call_response::not_run(call_refusal::overload,
                                              "the backend server has not run the request");
        refusal.reached_server = true;
        return refusal;
    }
    case response_verdict::untrusted:
        break;
    }
    // Further responses on the connection may belong to other requests, too.
    environment_.client.close_idle(backend.endpoint);
    return call_response::unknown("the backend server's answer cannot be passed on");
}

call_response backend_client::handle_failure(const gate_call& item, const backend_server& backend,
                                             const failure& reason)
{
    if (reason.code == failure_code::unavailable) {
        return call_response::not_run(call_refusal::absent, "the backend server refused the "
                                                            "connection: " +
                                                                reason.message);
    }
    if (reason.code == failure_code::unknown_outcome && !item.cancel_signal.cancelled() &&
        !environment_.client.accepts_connections(backend.endpoint)) {
        report_crash(item, backend);
    }
    return call_response::unknown(reason.message);
}

void backend_client::report_crash(const gate_call& item, const backend_server& backend)
{
    crash_report report{backend.service, environment_.self, 0, item.digest, {}, false};
    {
        const std::scoped_lock lock{mutex_};
        if (!last_crash_ || item.started > *last_crash_) {
            const auto since_epoch = environment_.time.calendar_now().time_since_epoch();
            crash_ = std::max(crash_ + 1, static_cast<std::uint64_t>(since_epoch.count()));
            last_crash_ = environment_.time.now();
        }
        report.crash = crash_;
        report.answered_before = answered_.contains(item.digest);
        crashing_requests_.add(report, environment_.time.now());
    }
    environment_.log.write(event_id::backend_crashed,
                           backend.service.str() + item.call.request.target);
    environment_.crashes.broadcast(report);
}

} // namespace savorywheel
