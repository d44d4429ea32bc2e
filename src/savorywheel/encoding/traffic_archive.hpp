#ifndef SAVORYWHEEL_ENCODING_TRAFFIC_ARCHIVE_HPP
#define SAVORYWHEEL_ENCODING_TRAFFIC_ARCHIVE_HPP

#include <savorywheel/encoding/core_archive.hpp>
#include <savorywheel/traffic/backend_departures.hpp>
#include <savorywheel/traffic/call_request.hpp>
#include <savorywheel/traffic/call_response.hpp>
#include <savorywheel/traffic/crash_reports.hpp>
#include <savorywheel/traffic/departure_copy.hpp>

namespace savorywheel {

template<typename Archive>
void serialize(Archive& archive, http_header& header)
{
    archive(cereal::make_nvp("name", header.name), cereal::make_nvp("value", header.value));
}

template<typename Archive>
void serialize(Archive& archive, http_request& request)
{
    archive(cereal::make_nvp("method", request.method), cereal::make_nvp("target", request.target),
            cereal::make_nvp("headers", request.headers), cereal::make_nvp("body", request.body));
}

template<typename Archive>
void serialize(Archive& archive, http_response& response)
{
    archive(cereal::make_nvp("status", response.status),
            cereal::make_nvp("headers", response.headers), cereal::make_nvp("body", response.body));
}

template<typename Archive>
void serialize(Archive& archive, backend_departure& departure)
{
    archive(cereal::make_nvp("identity", departure.identity),
            cereal::make_nvp("started_at", departure.started_at),
            cereal::make_nvp("is_exact", departure.is_exact));
}

template<typename Archive>
void serialize(Archive& archive, backend_departures& departures)
{
    archive(cereal::make_nvp("items", departures.items));
}

template<typename Archive>
void serialize(Archive& archive, departure_copy& copy)
{
    archive(cereal::make_nvp("owner", copy.owner), cereal::make_nvp("departures", copy.departures));
}

template<typename Archive>
void serialize(Archive& archive, call_request& call)
{
    archive(
        cereal::make_nvp("request_id", call.request_id), cereal::make_nvp("service", call.service),
        cereal::make_nvp("caller", call.caller), cereal::make_nvp("version", call.version),
        cereal::make_nvp("remaining_ms", call.remaining),
        cereal::make_nvp("expires_us", call.expires),
        cereal::make_nvp("preferred_ms", call.target_remaining),
        cereal::make_nvp("route", call.route), cereal::make_nvp("tenant", call.tenant),
        cereal::make_nvp("tenant_priority", call.tenant_priority),
        cereal::make_nvp("tenant_weight", call.tenant_weight),
        cereal::make_nvp("priority", call.priority),
        cereal::make_nvp("idempotent", call.idempotent), cereal::make_nvp("request", call.request));
}

template<typename Archive>
void serialize(Archive& archive, gate_load& load)
{
    archive(cereal::make_nvp("running", load.running), cereal::make_nvp("waiting", load.waiting),
            cereal::make_nvp("service_time_us", load.service_time),
            cereal::make_nvp("work_us", load.work));
}

template<typename Archive>
void serialize(Archive& archive, call_response& call)
{
    archive_enum(archive, "result", call.result, call_result::last_result);
    archive_enum(archive, "refusal", call.refusal, call_refusal::last_refusal);
    archive(cereal::make_nvp("reason", call.reason), cereal::make_nvp("response", call.response),
            cereal::make_nvp("reached_server", call.reached_server),
            cereal::make_nvp("retry_after_ms", call.retry_after),
            cereal::make_nvp("load", call.load), cereal::make_nvp("run_time_us", call.run_time));
}

template<typename Archive>
void serialize(Archive& archive, crash_report& report)
{
    archive(cereal::make_nvp("service", report.service), cereal::make_nvp("node", report.node),
            cereal::make_nvp("crash", report.crash), cereal::make_nvp("digest", report.digest),
            cereal::make_nvp("age_ms", report.age),
            cereal::make_nvp("answered_before", report.answered_before));
}

template<typename Archive>
void serialize(Archive& archive, crash_reports& reports)
{
    archive(cereal::make_nvp("items", reports.items));
}

} // namespace savorywheel

#endif
