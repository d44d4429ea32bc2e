#ifndef SAVORYWHEEL_TEST_SUPPORT_GATE_WITH_SERVER_HPP
#define SAVORYWHEEL_TEST_SUPPORT_GATE_WITH_SERVER_HPP

#include <savorywheel/core/system_clock_source.hpp>
#include <savorywheel/http/curl_http_client.hpp>
#include <savorywheel/traffic/gate.hpp>

#include <platform/platform_server_header_codec.hpp>
#include <support/recording_crash_reporter.hpp>
#include <support/recording_event_log.hpp>
#include <support/recording_sink.hpp>
#include <support/scripted_server.hpp>

namespace savorywheel::test {

/** @brief Gate with the platform's header fields, in front of a scripted backend server. */
class gate_with_server {
public:
    /** @param script Responses of the backend server in order. */
    explicit gate_with_server(std::vector<scripted_exchange> script);
    ~gate_with_server();
    gate_with_server(const gate_with_server&) = delete;
    gate_with_server& operator=(const gate_with_server&) = delete;
    gate_with_server(gate_with_server&&) = delete;
    gate_with_server& operator=(gate_with_server&&) = delete;

    /**
     * @brief Runs a POST request through the gate and blocks until its outcome.
     * @param id Id of the request; it is sent without one if empty.
     */
    [[nodiscard]] call_response call(std::string_view id);

    [[nodiscard]] const scripted_server& server() const noexcept { return server_; }
    [[nodiscard]] const gate& subject() const noexcept { return gate_; }

private:
    scripted_server server_;
    system_clock_source time_;
    platform::platform_server_header_codec header_codec_;
    curl_http_client client_{header_codec_.completeness_rule()};
    recording_crash_reporter crashes_;
    recording_event_log log_;
    std::shared_ptr<recording_sink> sink_ = std::make_shared<recording_sink>();
    std::uint64_t calls_{};
    gate gate_{{client_, time_, crashes_, log_, node_id{"gate"}, header_codec_}};
};

} // namespace savorywheel::test

#endif
