#include <savorywheel/http/http_status.hpp>

#include <platform/store_standin.hpp>

#include <algorithm>
#include <utility>

namespace savorywheel::platform::test {

namespace {

constexpr std::size_t page_size = 2;

json whole(const stored_object& object)
{
    auto value = json::parse(object.value);
    value["metadata"]["revision"] = object.revision;
    return value;
}

http_response with(int status, const json& body)
{
    return {status, {}, body.dump()};
}

std::uint64_t number(const std::string& text)
{
    return text.empty() ? 0 : std::stoull(text);
}

} // namespace

outcome<http_response> store_standin::send(const network_endpoint& /*server*/,
                                           const http_request& request,
                                           std::chrono::milliseconds /*timeout*/)
{
    const std::scoped_lock lock{mutex_};
    calls_.push_back(request.method + ' ' + request.target);
    if (faults_.empty()) {
        return answer(request);
    }
    const auto fault = faults_.front();
    faults_.pop_front();
    switch (fault) {
    case store_fault::refused:
        return http_response{status_unavailable, {}, {}};
    case store_fault::too_many:
        return http_response{status_too_many_requests, {}, {}};
    case store_fault::unreachable:
        return failure{failure_code::unavailable, "no connection"};
    case store_fault::lost_answer:
        static_cast<void>(answer(request));
        return failure{failure_code::unknown_outcome, "the connection was reset"};
    case store_fault::unreadable:
        static_cast<void>(answer(request));
        break;
    }
    return http_response{status_ok, {}, "not JSON"};
}

void store_standin::fail_next(std::vector<store_fault> faults)
{
    const std::scoped_lock lock{mutex_};
    faults_.assign(faults.begin(), faults.end());
}

void store_standin::forget_history(std::uint64_t revision)
{
    const std::scoped_lock lock{mutex_};
    oldest_ = revision;
}

std::uint64_t store_standin::put(const std::string& kind, const std::string& name,
                                 const json& object)
{
    auto value = object;
    value["metadata"]["name"] = name;
    const auto key = kind + '/' + name;
    if (const auto known = table_.get(key)) {
        return *table_.update(key, value.dump(), known->revision);
    }
    return *table_.create(key, value.dump());
}

std::vector<std::string> store_standin::calls() const
{
    const std::scoped_lock lock{mutex_};
    return calls_;
}

std::string store_standin::target::parameter(const std::string& wanted) const
{
    const auto start = ('&' + query).find('&' + wanted + '=');
    if (start == std::string::npos) {
        return {};
    }
    const auto value = start + wanted.size() + 1;
    return query.substr(value, query.find('&', value) - value);
}

store_standin::target store_standin::parse(const std::string& text)
{
    target place;
    const auto mark = text.find('?');
    place.query = mark == std::string::npos ? std::string{} : text.substr(mark + 1);
    auto path =
        text.substr(std::string{"/objects/"}.size(), mark - std::string{"/objects/"}.size());
    const std::string suffix{"/status"};
    place.status = path.ends_with(suffix);
    if (place.status) {
        path.resize(path.size() - suffix.size());
    }
    const auto slash = path.find('/');
    place.kind = path.substr(0, slash);
    place.name = slash == std::string::npos ? std::string{} : path.substr(slash + 1);
    return place;
}

http_response store_standin::answer(const http_request& request)
{
    const auto place = parse(request.target);
    const auto body = parse_json(request.body).value_or(json::object());
    if (request.method == "POST") {
        return create(place, body);
    }
    if (request.method == "PUT") {
        return replace(place, body);
    }
    if (request.method == "DELETE") {
        return remove(place);
    }
    if (!place.name.empty()) {
        return read(place);
    }
    return place.parameter("watch").empty() ? list(place) : watch(place);
}

http_response store_standin::read(const target& place)
{
    const auto found = table_.get(place.key());
    return found ? with(status_ok, whole(*found)) : http_response{status_not_found, {}, {}};
}

http_response store_standin::list(const target& place)
{
    const auto all = table_.list(place.kind + "/", {});
    const auto after = place.kind + '/' + place.parameter("after");
    json items = json::array();
    bool more = false;
    for (const auto& object : all->objects) {
        if (object.key <= after) {
            continue;
        }
        more = items.size() == page_size;
        if (more) {
            break;
        }
        items.push_back(whole(object));
    }
    return with(status_ok, {{"items", items}, {"more", more}, {"at", all->revision}});
}

http_response store_standin::watch(const target& place)
{
    const auto after = number(place.parameter("watch"));
    if (after < oldest_) {
        return {status_gone, {}, {}};
    }
    const auto seen = table_.watch(place.kind + '/', after, std::chrono::milliseconds{0});
    json events = json::array();
    for (const auto& object : seen->objects) {
        events.push_back({{"object", whole(object)}, {"deleted", false}});
    }
    return with(status_ok, {{"events", events}, {"at", seen->revision}});
}

http_response store_standin::create(const target& place, const json& body)
{
    const auto name = text_field(body.at("metadata"), "name").value_or("");
    const auto made = table_.create(place.kind + '/' + name, body.dump());
    if (!made) {
        return {status_conflict, {}, {}};
    }
    return with(status_created, whole(*table_.get(place.kind + '/' + name)));
}

http_response store_standin::replace(const target& place, const json& body)
{
    const auto known = table_.get(place.key());
    if (!known) {
        return {status_not_found, {}, {}};
    }
    auto value = json::parse(known->value);
    const auto* field = place.status ? "status" : "spec";
    value[field] = body.at(field);
    const auto expected = number_field(body.at("metadata"), "revision").value_or(known->revision);
    const auto made = table_.update(place.key(), value.dump(), expected);
    return made ? with(status_ok, whole(*table_.get(place.key())))
                : with(status_conflict, whole(*known));
}

http_response store_standin::remove(const target& place)
{
    const auto known = table_.get(place.key());
    if (!known) {
        return {status_not_found, {}, {}};
    }
    const auto gone = table_.remove(place.key(), number(place.parameter("revision")));
    return gone ? with(status_ok, json::object()) : with(status_conflict, whole(*known));
}

} // namespace savorywheel::platform::test
