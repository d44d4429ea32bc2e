#include <savorywheel/encoding/codec.hpp>

#include <platform/header_names.hpp>
#include <support/gate_with_server.hpp>
#include <support/wait_until.hpp>

#include <utility>

namespace savorywheel::test {

namespace {

constexpr std::chrono::seconds call_timeout{5};

} // namespace

gate_with_server::gate_with_server(std::vector<scripted_exchange> script)
    : server_{std::move(script)}
{
    gate_.set_backend(backend_server{service_name{"bookdesk"}, version_name{"v1"},
                                     server_.endpoint(), server_state::serving, 1, "i-1"});
}

gate_with_server::~gate_with_server()
{
    gate_.stop();
}

call_response gate_with_server::call(std::string_view id)
{
    call_request call;
    call.request_id = id;
    call.service = service_name{"bookdesk"};
    call.version = version_name{"v1"};
    call.remaining = call_timeout;
    call.expires = to_peer_time(time_.now() + call_timeout);
    call.request = {"POST", "/book", {}, "plug 7"};
    if (!id.empty()) {
        call.request.headers.push_back({std::string{platform::request_id_header}, std::string{id}});
    }
    const auto correlation = ++calls_;
    gate_.on_frame(sink_, frame_kind::call_request, correlation, encode(call));
    if (!wait_until([&] { return sink_->response(correlation).has_value(); })) {
        return call_response::unknown("the gate did not respond");
    }
    return *sink_->response(correlation);
}

} // namespace savorywheel::test
