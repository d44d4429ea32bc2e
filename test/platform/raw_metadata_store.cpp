#include <savorywheel/http/http_status.hpp>

#include <fmt/format.h>
#include <platform/raw_metadata_store.hpp>

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace savorywheel::platform::test {

namespace {

/** Bounds the calls of a client that makes no progress. */
constexpr std::size_t max_calls = 1000;

} // namespace

void raw_metadata_store::add(std::string name, std::string text)
{
    objects_.push_back({std::move(name), std::move(text)});
}

void raw_metadata_store::add_spec(const std::string& name, std::string_view spec)
{
    add(name, fmt::format(R"({{"metadata":{{"name":"{}","revision":{}}},"spec":{}}})", name,
                          objects_.size() + 1, spec));
}

outcome<http_response> raw_metadata_store::send(const network_endpoint& /*server*/,
                                                const http_request& request,
                                                std::chrono::milliseconds /*timeout*/)
{
    if (++calls_ > max_calls) {
        throw std::runtime_error{"too many calls"};
    }
    const std::string_view target{request.target};
    if (target.find("?watch=") != std::string_view::npos) {
        return http_response{status_ok, {}, watch()};
    }
    constexpr std::string_view after = "?after=";
    const auto query = target.find(after);
    if (query != std::string_view::npos) {
        return http_response{status_ok, {}, list(target.substr(query + after.size()))};
    }
    const auto found =
        std::ranges::find(objects_, target.substr(target.rfind('/') + 1), &object::name);
    return found == objects_.end() ? http_response{status_not_found, {}, {}}
                                   : http_response{status_ok, {}, found->text};
}

std::string raw_metadata_store::list(std::string_view after) const
{
    const auto known = std::ranges::find(objects_, after, &object::name);
    auto next = known == objects_.end() ? objects_.begin() : known + 1;
    std::string items;
    for (std::size_t count = 0; count < page_size_ && next != objects_.end(); ++count, ++next) {
        items += (items.empty() ? "" : ",") + next->text;
    }
    return fmt::format(R"({{"items":[{}],"more":{},"at":{}}})", items, next != objects_.end(),
                       revision);
}

std::string raw_metadata_store::watch() const
{
    std::string events;
    for (const auto& item : objects_) {
        events += fmt::format(R"({}{{"object":{},"deleted":{}}})", events.empty() ? "" : ",",
                              item.text, deleted_);
    }
    return fmt::format(R"({{"events":[{}],"at":{}}})", events, revision);
}

} // namespace savorywheel::platform::test
