#ifndef SAVORYWHEEL_TEST_PLATFORM_METADATA_STORE_SERVER_HPP
#define SAVORYWHEEL_TEST_PLATFORM_METADATA_STORE_SERVER_HPP

#include <savorywheel/http/http_handler.hpp>

#include <platform/fake_metadata_store.hpp>
#include <support/loop_http_server.hpp>

#include <atomic>
#include <condition_variable>
#include <mutex>

namespace savorywheel::platform::test {

/** @brief Fake metadata store behind HTTP, for processes; watches wait for a change. */
class metadata_store_server final : public http_handler {
public:
    metadata_store_server();
    metadata_store_server(const metadata_store_server&) = delete;
    metadata_store_server& operator=(const metadata_store_server&) = delete;
    metadata_store_server(metadata_store_server&&) = delete;
    metadata_store_server& operator=(metadata_store_server&&) = delete;
    ~metadata_store_server() override;

    [[nodiscard]] const network_endpoint& endpoint() const noexcept { return endpoint_; }

    /** @brief Creates or replaces an object, as operators do. */
    void put(const std::string& kind, const std::string& name, const json& object);

    /** @return Number of requests so far. */
    [[nodiscard]] std::uint64_t calls() const noexcept { return calls_; }

    /** @return Bytes of the bodies of all responses so far. */
    [[nodiscard]] std::uint64_t bytes() const noexcept { return bytes_; }
    /** @brief Saves a copy of all objects. */
    void back_up() { store_.back_up(); }

    /** @brief Returns to the saved copy, raises the era and ends waiting watches with 410. */
    void restore();
    /** @brief Refuses all calls with 503, or responds to them again. */
    void set_available(bool available) noexcept { available_ = available; }

    [[nodiscard]] http_response handle(const http_request& request) override;

private:
    [[nodiscard]] http_response answer(const http_request& request);

    fake_metadata_store store_;
    network_endpoint endpoint_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::uint64_t changes_{};
    std::atomic<std::uint64_t> calls_{};
    std::atomic<std::uint64_t> bytes_{};
    std::uint64_t restores_{};
    bool stopping_{};
    std::atomic<bool> available_{true};
    savorywheel::test::loop_http_server server_{*this};
};

} // namespace savorywheel::platform::test

#endif
