#ifndef SAVORYWHEEL_TEST_SUPPORT_RECORDING_SINK_HPP
#define SAVORYWHEEL_TEST_SUPPORT_RECORDING_SINK_HPP

#include <savorywheel/encoding/codec.hpp>
#include <savorywheel/traffic/call_response.hpp>
#include <savorywheel/transport/frame_sink.hpp>

#include <atomic>
#include <map>
#include <mutex>
#include <optional>

namespace savorywheel::test {

/** @brief Frame sink that records the call responses sent on it. */
class recording_sink final : public frame_sink {
public:
    bool send(frame_kind kind, std::uint64_t correlation,
              std::span<const std::byte> payload) override
    {
        if (kind == frame_kind::call_response) {
            if (auto response = decode<call_response>(payload)) {
                const std::scoped_lock lock{mutex_};
                responses_.emplace(correlation, std::move(*response));
            }
        }
        return true;
    }

    void close() override { closed_ = true; }

    /** @return Response to the call; empty if none was sent. */
    [[nodiscard]] std::optional<call_response> response(std::uint64_t correlation) const
    {
        const std::scoped_lock lock{mutex_};
        const auto found = responses_.find(correlation);
        return found == responses_.end() ? std::nullopt : std::optional{found->second};
    }

    /** @return Number of responses sent. */
    [[nodiscard]] std::size_t responses() const
    {
        const std::scoped_lock lock{mutex_};
        return responses_.size();
    }

    [[nodiscard]] bool closed() const noexcept { return closed_; }

private:
    mutable std::mutex mutex_;
    std::multimap<std::uint64_t, call_response> responses_;
    std::atomic<bool> closed_{};
};

} // namespace savorywheel::test

#endif
