#include <savorywheel/admin/admin_handler.hpp>
#include <savorywheel/admin/admin_response.hpp>
#include <savorywheel/admin/announcement_rules.hpp>
#include <savorywheel/encoding/codec.hpp>

#include <fmt/format.h>

#include <array>

namespace savorywheel {

/** One endpoint; if the path ends with a slash, the rest of the request's path is its argument. */
struct admin_handler::endpoint {
    std::string_view method;
    std::string_view path;
    http_response (*run)(admin_handler& self, const http_request& request,
                         std::string_view argument);

    [[nodiscard]] bool matches(std::string_view request_method, std::string_view request_path) const
    {
        return method == request_method &&
               (path.ends_with('/') ? request_path.starts_with(path) : request_path == path);
    }
};

http_response admin_handler::handle(const http_request& request)
{
    using self = admin_handler;
    using text = std::string_view;
    static constexpr std::array endpoints{
        endpoint{"PUT", "/config",
                 [](self& h, const http_request& r, text) { return h.changes_.apply(r); }},
        endpoint{"GET", "/config",
                 [](self& h, const http_request&, text) { return h.queries_.text(); }},
        endpoint{"POST", "/check",
                 [](self& h, const http_request& r, text) { return h.queries_.check(r); }},
        endpoint{"POST", "/diff",
                 [](self& h, const http_request& r, text) { return h.queries_.diff(r); }},
        endpoint{"GET", "/status",
                 [](self& h, const http_request&, text) { return h.queries_.status(); }},
        endpoint{"GET", "/history",
                 [](self& h, const http_request&, text) { return h.queries_.history(); }},
        endpoint{"GET", "/overrides",
                 [](self& h, const http_request&, text) { return h.queries_.overrides(); }},
        endpoint{"PUT", "/override/",
                 [](self& h, const http_request& r, text name) {
                     return h.changes_.set_override(r, name);
                 }},
        endpoint{"DELETE", "/override/",
                 [](self& h, const http_request& r, text name) {
                     return h.changes_.release_override(r, name);
                 }},
        endpoint{
            "GET", "/settle/",
            [](self& h, const http_request& r, text name) { return h.changes_.settle(r, name); }},
        endpoint{"PUT", "/backend",
                 [](self& h, const http_request& r, text) { return h.announce(r); }},
        endpoint{"GET", "/state",
                 [](self& h, const http_request&, text) { return h.queries_.state(); }},
        endpoint{"GET", "/metrics", [](self& h, const http_request&, text) {
                     return make_text_response(admin_status::ok, h.environment_.metrics.render());
                 }}};
    const auto path = text{request.target}.substr(0, request.target.find('?'));
    for (const auto& item : endpoints) {
        if (item.matches(request.method, path)) {
            return item.run(*this, request, path.substr(std::min(path.size(), item.path.size())));
        }
    }
    return make_text_response(admin_status::not_found,
                              fmt::format("no endpoint {} {}\n", request.method, path));
}

http_response admin_handler::announce(const http_request& request)
{
    const auto backend = decode_json<backend_server>(request.body);
    const auto checked = backend ? check_announcement(*backend) : outcome<bool>{backend.reason()};
    if (!checked) {
        environment_.log.write(event_id::admin_request_malformed,
                               "PUT /backend: " + checked.reason().message);
        return make_failure_response(checked.reason());
    }
    environment_.control.announce_backend(*backend);
    return make_text_response(admin_status::ok, "announced\n");
}

} // namespace savorywheel
