#include <savorywheel/encoding/codec.hpp>
#include <savorywheel/http/http_status.hpp>

#include <standin/platform/platform_handler.hpp>
#include <standin/support/query.hpp>

#include <charconv>
#include <limits>
#include <thread>
#include <utility>

namespace savorywheel::standin {

namespace {

constexpr std::string_view objects_path = "/objects/";

http_response text_response(int status, std::string body)
{
    return {status, {{"Content-Type", "text/plain"}}, std::move(body)};
}

http_response failure_response(const failure& reason)
{
    switch (reason.code) {
    case failure_code::not_found:
        return text_response(status_not_found, reason.message);
    case failure_code::conflict:
        return text_response(status_precondition_failed, reason.message);
    default:
        return text_response(status_bad_request, reason.message);
    }
}

std::string format_etag(std::uint64_t revision)
{
    return '"' + std::to_string(revision) + '"';
}

http_response write_response(const outcome<std::uint64_t>& revision, int status)
{
    if (!revision) {
        return failure_response(revision.reason());
    }
    return {status, {{"ETag", format_etag(*revision)}}, {}};
}

std::uint64_t parse_etag(std::string_view etag)
{
    std::uint64_t revision{};
    if (etag.size() > 2) {
        std::from_chars(etag.data() + 1, etag.data() + etag.size() - 1, revision);
    }
    return revision;
}

http_response list_response(const outcome<object_list>& objects)
{
    if (!objects) {
        return failure_response(objects.reason());
    }
    return {status_ok, {{"Content-Type", "application/json"}}, encode_json(*objects)};
}

} // namespace

platform_handler::platform_handler(in_memory_object_store& store, const clock& time,
                                   platform_limits limits)
    : store_{store}, read_limiter_{time, limits.reads_per_second}, write_limiter_{
                                                                       time,
                                                                       limits.writes_per_second}
{
    for (const auto* name : {"reads", "watches", "writes", "refused", "throttled"}) {
        static_cast<void>(metrics_.count(name));
    }
}

http_response platform_handler::handle(const http_request& request)
{
    auto response = respond(request);
    response.headers.push_back({"Store-Era", std::to_string(store_.era().value_or(0))});
    return response;
}

http_response platform_handler::respond(const http_request& request)
{
    const auto path = path_of(request.target);
    if (path == "/backup") {
        store_.back_up();
        return text_response(status_ok, "saved\n");
    }
    if (path == "/restore") {
        store_.restore();
        return text_response(status_ok, "restored\n");
    }
    if (path == "/fault") {
        return set_faults(request);
    }
    if (path == "/metrics") {
        return text_response(status_ok, metrics_.render());
    }
    injected_faults faults;
    {
        const std::scoped_lock lock{mutex_};
        faults = faults_;
    }
    std::this_thread::sleep_for(faults.delay);
    if (faults.down) {
        metrics_.count("refused") += 1;
        return text_response(status_unavailable, "out of service\n");
    }
    auto& limiter = request.method == "GET" ? read_limiter_ : write_limiter_;
    if (!limiter.try_acquire()) {
        metrics_.count("throttled") += 1;
        return text_response(status_too_many_requests, "too many calls\n");
    }
    return serve(request);
}

http_response platform_handler::set_faults(const http_request& request)
{
    constexpr auto unchanged = std::numeric_limits<std::uint64_t>::max();
    const auto reads = query_number(request.target, "reads_per_second", unchanged);
    if (reads != unchanged) {
        read_limiter_.set_rate(static_cast<double>(reads));
    }
    const auto writes = query_number(request.target, "writes_per_second", unchanged);
    if (writes != unchanged) {
        write_limiter_.set_rate(static_cast<double>(writes));
    }
    const std::scoped_lock lock{mutex_};
    faults_.down = query_number(request.target, "down", faults_.down ? 1 : 0) != 0;
    faults_.lost_answers =
        static_cast<unsigned>(query_number(request.target, "lost_answers", faults_.lost_answers));
    faults_.delay = std::chrono::milliseconds{query_number(
        request.target, "delay_ms", static_cast<std::uint64_t>(faults_.delay.count()))};
    return text_response(status_ok, "set\n");
}

http_response platform_handler::serve(const http_request& request)
{
    const auto path = path_of(request.target);
    if (request.method == "GET" && path == "/watch") {
        metrics_.count("watches") += 1;
        return list_response(store_.watch(
            query_text(request.target, "prefix"), query_number(request.target, "after", 0),
            std::chrono::milliseconds{query_number(request.target, "patience_ms", 0)}));
    }
    if (request.method == "GET" && path == "/objects") {
        metrics_.count("reads") += 1;
        return list_response(
            store_.list(query_text(request.target, "prefix"), query_text(request.target, "after")));
    }
    if (!path.starts_with(objects_path)) {
        return text_response(status_not_found, "no such path\n");
    }
    const auto key = path.substr(objects_path.size());
    if (request.method != "GET") {
        return write(request, key);
    }
    metrics_.count("reads") += 1;
    const auto object = store_.get(key);
    if (!object) {
        return failure_response(object.reason());
    }
    return {status_ok, {{"ETag", format_etag(object->revision)}}, object->value};
}

http_response platform_handler::write(const http_request& request, std::string_view key)
{
    metrics_.count("writes") += 1;
    const auto if_match = find_header(request.headers, "If-Match");
    http_response response;
    if (request.method == "DELETE") {
        response = write_response(store_.remove(key, parse_etag(if_match)), status_ok);
    }
    else if (!if_match.empty()) {
        response =
            write_response(store_.update(key, request.body, parse_etag(if_match)), status_ok);
    }
    else if (find_header(request.headers, "If-None-Match") == "*") {
        response = write_response(store_.create(key, request.body), status_created);
    }
    else {
        return text_response(status_bad_request, "a write needs If-Match or If-None-Match\n");
    }
    if (consume_lost_answer()) {
        return text_response(status_gateway_timeout, "the answer was lost\n");
    }
    return response;
}

bool platform_handler::consume_lost_answer()
{
    const std::scoped_lock lock{mutex_};
    if (faults_.lost_answers == 0) {
        return false;
    }
    --faults_.lost_answers;
    return true;
}

} // namespace savorywheel::standin
