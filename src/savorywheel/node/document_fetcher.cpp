#include <savorywheel/encoding/codec.hpp>
#include <savorywheel/encoding/document_answer_codec.hpp>
#include <savorywheel/node/document_fetcher.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <memory>
#include <utility>

namespace savorywheel {

namespace {

/** After this time without a response, the next source is asked as well. */
constexpr std::chrono::milliseconds attempt_timeout{400};
/** After this time without a response, a source may be asked again. */
constexpr std::chrono::milliseconds request_timeout{2000};
/** Both senders of a confirmation, its origin and a peer from a probe. */
constexpr std::size_t max_sources = 4;

} // namespace

void document_fetcher::add_source(const network_endpoint& peer, const configuration_head& remote,
                                  duration delay)
{
    if (!environment_.documents.lacks_any_of(remote)) {
        return;
    }
    if (!active()) {
        delay_reported_ = false;
    }
    const auto known = std::ranges::find(sources_, peer, &source::peer);
    if (known != sources_.end()) {
        known->head = remote;
        if (known->request == 0) {
            // A peer that was reported by a probe may now be the parent in a tree.
            known->due = std::min(known->due, environment_.loop.time().now() + delay);
            wait();
        }
    }
    else if (make_room()) {
        const auto due = environment_.loop.time().now() + delay;
        sources_.push_back({peer, remote, due, 0, {}, {}, false});
        wait();
    }
}

bool document_fetcher::make_room()
{
    if (sources_.size() < max_sources) {
        return true;
    }
    const auto oldest = std::ranges::min_element(sources_, {}, [](const source& item) {
        return item.request == 0 ? monotonic_time::max() : item.asked_at;
    });
    if (oldest->request == 0) {
        return false;
    }
    environment_.requests.discard(oldest->request);
    sources_.erase(oldest);
    return true;
}

void document_fetcher::on_documents_changed()
{
    if (active()) {
        remove_useless_sources();
    }
}

void document_fetcher::stop()
{
    timer_.reset();
    for (const auto& item : std::exchange(sources_, {})) {
        environment_.requests.discard(item.request);
    }
}

void document_fetcher::wait()
{
    const auto now = environment_.loop.time().now();
    monotonic_time asked;
    auto due = monotonic_time::max();
    for (const auto& item : sources_) {
        if (item.request == 0) {
            due = std::min(due, item.due);
        }
        else {
            asked = std::max(asked, item.asked_at + attempt_timeout);
        }
    }
    const bool all_asked = due == monotonic_time::max();
    const auto delay =
        all_asked ? attempt_timeout : std::max(std::max(due, asked) - now, duration::zero());
    timer_ = environment_.loop.timers().after(delay, [this] { ask_next(); });
}

void document_fetcher::remove_useless_sources()
{
    std::erase_if(sources_, [this](const source& item) {
        if (environment_.documents.lacks_any_of(item.head)) {
            return false;
        }
        environment_.requests.discard(item.request);
        return true;
    });
    if (sources_.empty()) {
        timer_.reset();
        environment_.ended();
    }
}

void document_fetcher::ask_next()
{
    const auto now = environment_.loop.time().now();
    // A source that has not responded at all is asked again only if it is reported again.
    std::erase_if(sources_, [this, now](const source& item) {
        if (item.request == 0 || now - item.asked_at < request_timeout) {
            return false;
        }
        environment_.requests.discard(item.request);
        return true;
    });
    if (sources_.empty()) {
        environment_.ended();
        return;
    }
    const bool delayed = std::ranges::any_of(sources_, [now](const source& item) {
        return item.request != 0 && now - item.asked_at >= attempt_timeout;
    });
    if (delayed && !std::exchange(delay_reported_, true)) {
        environment_.log.write(event_id::documents_asked_by_datagram,
                               fmt::format("{} peers", sources_.size()));
        environment_.delayed();
    }
    const auto next = std::ranges::find_if(
        sources_, [now](const source& item) { return item.request == 0 && item.due <= now; });
    if (next != sources_.end()) {
        // The callback may run during submit(), before the request is known.
        const auto request = std::make_shared<std::uint64_t>();
        const auto peer = next->peer;
        next->asked_at = now;
        next->base = whole_needed_ ? document_request{} : environment_.documents.request();
        next->request = *request = environment_.requests.submit(
            environment_.network.connection_to(peer), frame_kind::configuration_get,
            encode(next->base), [this, request](request_client::response answer) {
                environment_.loop.post(
                    [this, request, item = std::move(answer)] { on_response(*request, item); });
            });
    }
    if (delay_reported_) {
        ask_by_datagram();
    }
    wait();
}

void document_fetcher::ask_by_datagram()
{
    for (auto& item : sources_) {
        if (item.request != 0 && !std::exchange(item.by_datagram, true)) {
            environment_.ask_by_datagram(item.peer, item.request, item.base);
        }
    }
}

void document_fetcher::on_answer(std::uint64_t request, std::span<const std::byte> answer)
{
    environment_.requests.discard(request);
    on_response(request, std::vector<std::byte>{answer.begin(), answer.end()});
}

void document_fetcher::merge(const source& responded, const document_answer& remote)
{
    const auto base = environment_.documents.request();
    const auto merged = environment_.received(responded.peer, remote);
    if (merged) {
        whole_needed_ = false;
        return;
    }
    if (responded.base != base && responded.base != document_request{}) {
        // This node has got another configuration since its request, so it asks from that one.
        add_source(responded.peer, responded.head, duration::zero());
        return;
    }
    environment_.log.write(
        event_id::document_delta_refused,
        fmt::format("{}: {}", to_string(responded.peer), merged.reason().message));
    // Once more without a base; a peer that sends a difference even then is not asked again.
    if (!std::exchange(whole_needed_, true)) {
        add_source(responded.peer, responded.head, duration::zero());
    }
}

void document_fetcher::on_response(std::uint64_t request, const request_client::response& answer)
{
    const auto responded = std::ranges::find(sources_, request, &source::request);
    if (responded == sources_.end()) {
        return;
    }
    const auto source_asked = *responded;
    sources_.erase(responded);
    const auto remote =
        answer ? decode_document_answer(*answer) : outcome<document_answer>{answer.reason()};
    if (remote) {
        merge(source_asked, *remote);
    }
    else {
        environment_.log.write(event_id::configuration_fetch_failed, remote.reason().message);
    }
    remove_useless_sources();
    if (active() &&
        std::ranges::any_of(sources_, [](const source& item) { return item.request == 0; })) {
        ask_next();
    }
}

} // namespace savorywheel
