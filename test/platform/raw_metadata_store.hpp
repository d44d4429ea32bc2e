#ifndef SAVORYWHEEL_TEST_PLATFORM_RAW_METADATA_STORE_HPP
#define SAVORYWHEEL_TEST_PLATFORM_RAW_METADATA_STORE_HPP

#include <savorywheel/http/http_client.hpp>

#include <atomic>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace savorywheel::platform::test {

/**
 * @brief Metadata store of objects with given texts, which need not be valid JSON.
 *
 * Serves lists in pages, and watches and reads without regard to the revision.
 */
class raw_metadata_store final : public http_client {
public:
    /** @brief Adds an object; `after` in a list refers to the name. */
    void add(std::string name, std::string text);

    /** @brief Adds an object with a valid name and revision, and the given text as its spec. */
    void add_spec(const std::string& name, std::string_view spec);

    /** @brief Sets the objects of a page. */
    void set_page_size(std::size_t size) { page_size_ = size; }

    /** @brief Sets the text of the field "deleted" of each event. */
    void set_deleted(std::string text) { deleted_ = std::move(text); }

    /** @brief Store revision in the responses. */
    static constexpr std::uint64_t revision = 77;

    [[nodiscard]] outcome<http_response> send(const network_endpoint& server,
                                              const http_request& request,
                                              std::chrono::milliseconds timeout) override;

    /** @return Number of calls received. */
    [[nodiscard]] std::size_t calls() const { return calls_; }

private:
    struct object {
        std::string name;
        std::string text;
    };

    [[nodiscard]] std::string list(std::string_view after) const;
    [[nodiscard]] std::string watch() const;

    std::vector<object> objects_;
    std::size_t page_size_{500};
    std::string deleted_{"false"};
    std::atomic<std::size_t> calls_{};
};

} // namespace savorywheel::platform::test

#endif
