#ifndef SAVORYWHEEL_STORE_HTTP_OBJECT_STORE_HPP
#define SAVORYWHEEL_STORE_HTTP_OBJECT_STORE_HPP

#include <savorywheel/http/http_client.hpp>
#include <savorywheel/store/object_store.hpp>

namespace savorywheel {

/**
 * @brief Client of the object API, over HTTP, of the hosting platform that runs the VMs.
 *
 * `after` is a key in list() and a revision in watch().
 *
 * Conditional requests follow RFC 9110: the entity tag is the revision, `If-None-Match: *` creates,
 * `If-Match` replaces or removes.
 */
class http_object_store final : public object_store {
public:
    /**
     * @param client Sends the requests; must outlive the store.
     * @param server Endpoint of the object API.
     * @param timeout Response timeout; a watch adds its own maximum wait.
     */
    http_object_store(http_client& client, network_endpoint server,
                      std::chrono::milliseconds timeout);

    [[nodiscard]] outcome<stored_object> get(std::string_view key) override;
    [[nodiscard]] outcome<std::uint64_t> create(std::string_view key,
                                                std::string_view value) override;
    [[nodiscard]] outcome<std::uint64_t> update(std::string_view key, std::string_view value,
                                                std::uint64_t expected_revision) override;
    [[nodiscard]] outcome<std::uint64_t> remove(std::string_view key,
                                                std::uint64_t expected_revision) override;
    [[nodiscard]] outcome<object_list> list(std::string_view prefix,
                                            std::string_view after) override;
    [[nodiscard]] outcome<object_list> watch(std::string_view prefix, std::uint64_t after,
                                             std::chrono::milliseconds max_wait) override;

private:
    [[nodiscard]] outcome<std::uint64_t> write(const http_request& request);
    [[nodiscard]] outcome<object_list> read_list(const std::string& target,
                                                 std::chrono::milliseconds timeout);

    http_client& client_;
    network_endpoint server_;
    std::chrono::milliseconds timeout_;
};

} // namespace savorywheel

#endif
