#include <savorywheel/encoding/codec.hpp>
#include <savorywheel/http/http_status.hpp>
#include <savorywheel/store/http_object_store.hpp>
#include <savorywheel/store/store_failure.hpp>

#include <fmt/format.h>

#include <charconv>
#include <utility>

namespace savorywheel {

namespace {

std::uint64_t revision_of(const http_response& response)
{
    auto tag = find_header(response.headers, "ETag");
    if (tag.size() >= 2 && tag.front() == '"') {
        tag = tag.substr(1, tag.size() - 2);
    }
    std::uint64_t revision{};
    std::from_chars(tag.data(), tag.data() + tag.size(), revision);
    return revision;
}

std::string object_target(std::string_view key)
{
    return fmt::format("/objects/{}", key);
}

} // namespace

http_object_store::http_object_store(http_client& client, network_endpoint server,
                                     std::chrono::milliseconds timeout)
    : client_{client}, server_{std::move(server)}, timeout_{timeout}
{
}

outcome<stored_object> http_object_store::get(std::string_view key)
{
    auto response = client_.send(server_, {"GET", object_target(key), {}, {}}, timeout_);
    if (!response) {
        return response.reason();
    }
    if (response->status != status_ok) {
        return store_failure(response->status);
    }
    const auto revision = revision_of(*response);
    return stored_object{std::string{key}, std::move(response->body), revision};
}

outcome<std::uint64_t> http_object_store::create(std::string_view key, std::string_view value)
{
    return write({"PUT", object_target(key), {{"If-None-Match", "*"}}, std::string{value}});
}

outcome<std::uint64_t> http_object_store::update(std::string_view key, std::string_view value,
                                                 std::uint64_t expected_revision)
{
    return write({"PUT",
                  object_target(key),
                  {{"If-Match", fmt::format("\"{}\"", expected_revision)}},
                  std::string{value}});
}

outcome<std::uint64_t> http_object_store::remove(std::string_view key,
                                                 std::uint64_t expected_revision)
{
    return write({"DELETE",
                  object_target(key),
                  {{"If-Match", fmt::format("\"{}\"", expected_revision)}},
                  {}});
}

outcome<object_list> http_object_store::list(std::string_view prefix, std::string_view after)
{
    return read_list(fmt::format("/objects?prefix={}&after={}", prefix, after), timeout_);
}

outcome<object_list> http_object_store::watch(std::string_view prefix, std::uint64_t after,
                                              std::chrono::milliseconds max_wait)
{
    const auto target =
        fmt::format("/watch?prefix={}&after={}&patience_ms={}", prefix, after, max_wait.count());
    return read_list(target, max_wait + timeout_);
}

outcome<std::uint64_t> http_object_store::write(const http_request& request)
{
    const auto response = client_.send(server_, request, timeout_);
    if (!response) {
        return response.reason();
    }
    if (response->status != status_ok && response->status != status_created) {
        return store_failure(response->status);
    }
    return revision_of(*response);
}

outcome<object_list> http_object_store::read_list(const std::string& target,
                                                  std::chrono::milliseconds timeout)
{
    const auto response = client_.send(server_, {"GET", target, {}, {}}, timeout);
    if (!response) {
        return response.reason();
    }
    if (response->status != status_ok) {
        return store_failure(response->status);
    }
    return decode_json<object_list>(response->body);
}

} // namespace savorywheel
