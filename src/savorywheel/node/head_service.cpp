#include <savorywheel/distribution/head_message.hpp>
#include <savorywheel/encoding/codec.hpp>
#include <savorywheel/node/head_service.hpp>

#include <condition_variable>
#include <memory>
#include <mutex>

namespace savorywheel {

namespace {

/** Responses to one query; shared with the callbacks, which may run after the timeout. */
class head_responses {
public:
    explicit head_responses(std::size_t expected) : pending_{expected} {}

    void add(const network_endpoint& peer, const request_client::response& answer)
    {
        const std::scoped_lock lock{mutex_};
        if (answer) {
            if (const auto message = decode<head_message>(*answer)) {
                heads_[peer] = message->version;
            }
        }
        --pending_;
        complete_.notify_all();
    }

    head_service::heads wait(std::chrono::milliseconds timeout)
    {
        std::unique_lock lock{mutex_};
        complete_.wait_for(lock, timeout, [this] { return pending_ == 0; });
        return heads_;
    }

private:
    std::mutex mutex_;
    std::condition_variable complete_;
    std::size_t pending_;
    head_service::heads heads_;
};

} // namespace

head_service::heads head_service::collect(std::span<const network_endpoint> peers,
                                          std::chrono::milliseconds timeout)
{
    const auto answers = std::make_shared<head_responses>(peers.size());
    std::vector<std::uint64_t> requests;
    for (const auto& peer : peers) {
        requests.push_back(
            requests_.submit(network_.connection_to(peer), frame_kind::head_get, {},
                             [answers, peer](const request_client::response& answer) {
                                 answers->add(peer, answer);
                             }));
    }
    auto result = answers->wait(timeout);
    for (const auto request : requests) {
        requests_.discard(request);
    }
    return result;
}

void head_service::on_frame(const std::shared_ptr<frame_sink>& connection, frame_kind /*kind*/,
                            std::uint64_t correlation, std::span<const std::byte> /*payload*/)
{
    const head_message message{tables_.current()->version()};
    connection->send(frame_kind::head_value, correlation, encode(message));
}

void head_service::on_closed(const frame_sink& /*connection*/, bool /*established*/) {}

} // namespace savorywheel
