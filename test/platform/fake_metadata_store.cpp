#include <savorywheel/http/http_status.hpp>

#include <platform/fake_metadata_store.hpp>

#include <algorithm>
#include <utility>

namespace savorywheel::platform::test {

namespace {

constexpr std::size_t page_size = 2;

json with_revision(const stored_object& object)
{
    auto value = json::parse(object.value);
    value["metadata"]["revision"] = object.revision;
    return value;
}

http_response json_response(int status, const json& body)
{
    return {status, {}, body.dump()};
}

std::uint64_t parse_number(const std::string& text)
{
    return text.empty() ? 0 : std::stoull(text);
}

} // namespace

outcome<http_response> fake_metadata_store::send(const network_endpoint& /*server*/,
                                                 const http_request& request,
                                                 std::chrono::milliseconds /*timeout*/)
{
    const std::scoped_lock lock{mutex_};
    calls_.push_back(request.method + ' ' + request.target);
    if (const auto action = actions_.extract(calls_.size())) {
        action.mapped()();
    }
    if (faults_.empty()) {
        auto response = handle(request);
        if (const auto era = store_.era().value_or(0); era > 0) {
            response.headers.push_back({"Store-Era", std::to_string(era)});
        }
        return response;
    }
    const auto fault = faults_.front();
    faults_.pop_front();
    switch (fault) {
    case store_fault::refused:
        return http_response{status_unavailable, {}, {}};
    case store_fault::too_many_requests:
        return http_response{status_too_many_requests, {}, {}};
    case store_fault::unreachable:
        return failure{failure_code::unavailable, "no connection"};
    case store_fault::lost_answer:
        static_cast<void>(handle(request));
        return failure{failure_code::unknown_outcome, "the connection was reset"};
    case store_fault::invalid_json:
        static_cast<void>(handle(request));
        break;
    }
    return http_response{status_ok, {}, "not JSON"};
}

void fake_metadata_store::fail_next(std::vector<store_fault> faults)
{
    const std::scoped_lock lock{mutex_};
    faults_.assign(faults.begin(), faults.end());
}

void fake_metadata_store::before_call(std::size_t number, std::function<void()> action)
{
    const std::scoped_lock lock{mutex_};
    actions_[calls_.size() + number] = std::move(action);
}

void fake_metadata_store::truncate_history(std::uint64_t revision)
{
    const std::scoped_lock lock{mutex_};
    oldest_revision_ = revision;
}

void fake_metadata_store::back_up()
{
    store_.back_up();
}

void fake_metadata_store::restore()
{
    store_.restore();
}

std::uint64_t fake_metadata_store::put(const std::string& kind, const std::string& name,
                                       const json& object)
{
    auto value = object;
    value["metadata"]["name"] = name;
    const auto key = kind + '/' + name;
    if (const auto current = store_.get(key)) {
        return *store_.update(key, value.dump(), current->revision);
    }
    return *store_.create(key, value.dump());
}

std::vector<std::string> fake_metadata_store::calls() const
{
    const std::scoped_lock lock{mutex_};
    return calls_;
}

std::string fake_metadata_store::target::parameter(const std::string& parameter_name) const
{
    const auto start = ('&' + query).find('&' + parameter_name + '=');
    if (start == std::string::npos) {
        return {};
    }
    const auto value = start + parameter_name.size() + 1;
    return query.substr(value, query.find('&', value) - value);
}

fake_metadata_store::target fake_metadata_store::parse(const std::string& text)
{
    target parsed_target;
    const auto query_start = text.find('?');
    parsed_target.query =
        query_start == std::string::npos ? std::string{} : text.substr(query_start + 1);
    auto path =
        text.substr(std::string{"/objects/"}.size(), query_start - std::string{"/objects/"}.size());
    const std::string suffix{"/status"};
    parsed_target.status = path.ends_with(suffix);
    if (parsed_target.status) {
        path.resize(path.size() - suffix.size());
    }
    const auto slash = path.find('/');
    parsed_target.kind = path.substr(0, slash);
    parsed_target.name = slash == std::string::npos ? std::string{} : path.substr(slash + 1);
    return parsed_target;
}

http_response fake_metadata_store::handle(const http_request& request)
{
    const auto parsed_target = parse(request.target);
    const auto body = parse_json(request.body).value_or(json::object());
    if (request.method == "POST") {
        return create(parsed_target, body);
    }
    if (request.method == "PUT") {
        return replace(parsed_target, body);
    }
    if (request.method == "DELETE") {
        return remove(parsed_target);
    }
    if (!parsed_target.name.empty()) {
        return read(parsed_target);
    }
    return parsed_target.parameter("watch").empty() ? list(parsed_target) : watch(parsed_target);
}

http_response fake_metadata_store::read(const target& parsed_target)
{
    const auto found = store_.get(parsed_target.key());
    return found ? json_response(status_ok, with_revision(*found))
                 : http_response{status_not_found, {}, {}};
}

http_response fake_metadata_store::list(const target& parsed_target)
{
    const auto all = store_.list(parsed_target.kind + "/", {});
    const auto after = parsed_target.kind + '/' + parsed_target.parameter("after");
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
        items.push_back(with_revision(object));
    }
    return json_response(status_ok, {{"items", items}, {"more", more}, {"at", all->revision}});
}

http_response fake_metadata_store::watch(const target& parsed_target)
{
    const auto after = parse_number(parsed_target.parameter("watch"));
    if (after < oldest_revision_) {
        return {status_gone, {}, {}};
    }
    const auto changes =
        store_.watch(parsed_target.kind + '/', after, std::chrono::milliseconds{0});
    if (!changes) {
        return {status_gone, {}, {}};
    }
    json events = json::array();
    for (const auto& object : changes->objects) {
        events.push_back({{"object", with_revision(object)}, {"deleted", false}});
    }
    return json_response(status_ok, {{"events", events}, {"at", changes->revision}});
}

http_response fake_metadata_store::create(const target& parsed_target, const json& body)
{
    const auto name = text_field(body.at("metadata"), "name").value_or("");
    const auto created = store_.create(parsed_target.kind + '/' + name, body.dump());
    if (!created) {
        return {status_conflict, {}, {}};
    }
    return json_response(status_created,
                         with_revision(*store_.get(parsed_target.kind + '/' + name)));
}

http_response fake_metadata_store::replace(const target& parsed_target, const json& body)
{
    const auto current = store_.get(parsed_target.key());
    if (!current) {
        return {status_not_found, {}, {}};
    }
    auto value = json::parse(current->value);
    const auto* field = parsed_target.status ? "status" : "spec";
    value[field] = body.at(field);
    const auto expected = number_field(body.at("metadata"), "revision").value_or(current->revision);
    const auto created = store_.update(parsed_target.key(), value.dump(), expected);
    return created ? json_response(status_ok, with_revision(*store_.get(parsed_target.key())))
                   : json_response(status_conflict, with_revision(*current));
}

http_response fake_metadata_store::remove(const target& parsed_target)
{
    const auto current = store_.get(parsed_target.key());
    if (!current) {
        return {status_not_found, {}, {}};
    }
    const auto removed =
        store_.remove(parsed_target.key(), parse_number(parsed_target.parameter("revision")));
    return removed ? json_response(status_ok, json::object())
                   : json_response(status_conflict, with_revision(*current));
}

} // namespace savorywheel::platform::test
