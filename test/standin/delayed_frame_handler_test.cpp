#include <gtest/gtest.h>
#include <standin/node/address_region.hpp>
#include <standin/node/delayed_frame_handler.hpp>

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <vector>

namespace savorywheel::test {

namespace {

class fixed_address_sink final : public frame_sink {
public:
    explicit fixed_address_sink(std::string address) : address_{std::move(address)} {}

    bool send(frame_kind /*kind*/, std::uint64_t /*correlation*/,
              std::span<const std::byte> /*payload*/) override
    {
        return true;
    }

    [[nodiscard]] std::string_view peer_address() const noexcept override { return address_; }
    void close() override {}

private:
    std::string address_;
};

class recording_frame_handler final : public frame_handler {
public:
    void on_frame(const std::shared_ptr<frame_sink>& /*connection*/, frame_kind /*kind*/,
                  std::uint64_t correlation, std::span<const std::byte> /*payload*/) override
    {
        const std::scoped_lock lock{mutex_};
        received_.push_back(correlation);
        changed_.notify_all();
    }

    void on_closed(const frame_sink& /*connection*/, bool /*established*/) override {}

    std::vector<std::uint64_t> wait_for(std::size_t count)
    {
        std::unique_lock lock{mutex_};
        changed_.wait(lock, [&] { return received_.size() >= count; });
        return received_;
    }

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<std::uint64_t> received_;
};

} // namespace

TEST(delayed_frame_handler, delays_only_frames_from_other_regions)
{
    constexpr std::chrono::milliseconds delay{20};
    recording_frame_handler inner;
    standin::delayed_executor executor{delay};
    standin::delayed_frame_handler handler{inner, "0", executor};
    const auto far = std::make_shared<fixed_address_sink>("127.9.1.7");
    const auto near = std::make_shared<fixed_address_sink>("127.9.0.8");
    const auto started = std::chrono::steady_clock::now();
    handler.on_frame(far, frame_kind::commit_push, 1, {});
    handler.on_frame(near, frame_kind::commit_push, 2, {});
    EXPECT_TRUE(std::ranges::count(inner.wait_for(0), 2U) == 1)
        << "a frame from the same region was delayed";
    handler.on_frame(far, frame_kind::commit_push, 3, {});
    auto received = inner.wait_for(3);
    std::erase(received, 2U);
    EXPECT_EQ(received, (std::vector<std::uint64_t>{1, 3}));
    EXPECT_GE(std::chrono::steady_clock::now() - started, delay);
    executor.stop();
}

TEST(address_region, is_the_third_octet)
{
    EXPECT_EQ(standin::address_region("127.9.12.7"), "12");
    EXPECT_EQ(standin::address_region("localhost"), "");
}

} // namespace savorywheel::test
