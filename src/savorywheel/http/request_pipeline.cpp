#include <savorywheel/http/request_pipeline.hpp>

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

namespace savorywheel {

bool is_safe_method(std::string_view method) noexcept
{
    constexpr std::array<std::string_view, 3> safe_methods{"GET", "HEAD", "OPTIONS"};
    return std::ranges::find(safe_methods, method) != safe_methods.end();
}

std::uint64_t request_pipeline::push(pipelined_request item)
{
    item.id = next_id_++;
    items_.push_back(std::move(item));
    return items_.back().id;
}

pipelined_request* request_pipeline::start_next() noexcept
{
    bool is_first = true;
    for (auto& item : items_) {
        if (!item.is_started && !item.response) {
            if (!item.is_safe && !is_first) {
                return nullptr;
            }
            item.is_started = true;
            return &item;
        }
        if (!item.is_safe && !item.response) {
            return nullptr;
        }
        is_first = false;
    }
    return nullptr;
}

void request_pipeline::set_response(std::uint64_t id, http_response response, std::size_t memory)
{
    const auto found = std::ranges::find(items_, id, &pipelined_request::id);
    if (found != items_.end() && !found->response) {
        found->response = std::move(response);
        found->memory = memory;
    }
}

std::size_t request_pipeline::memory_of_request(std::uint64_t id) const noexcept
{
    const auto found = std::ranges::find(items_, id, &pipelined_request::id);
    return found != items_.end() && !found->response ? found->memory : 0;
}

std::size_t request_pipeline::memory() const noexcept
{
    std::size_t bytes{};
    for (const auto& item : items_) {
        bytes += item.memory;
    }
    return bytes;
}

std::size_t request_pipeline::waiting_memory() const noexcept
{
    std::size_t bytes{};
    for (const auto& item : items_) {
        bytes += item.is_started || item.response ? 0 : item.memory;
    }
    return bytes;
}

std::optional<pipelined_request> request_pipeline::pop_answered()
{
    if (items_.empty() || !items_.front().response) {
        return std::nullopt;
    }
    std::optional<pipelined_request> first{std::move(items_.front())};
    items_.pop_front();
    return first;
}

void request_pipeline::interrupt_all()
{
    // A cancelled request may be answered, and removed, at once.
    std::vector<std::shared_ptr<cancellation>> signals;
    signals.reserve(items_.size());
    for (const auto& item : items_) {
        signals.push_back(item.cancel_signal);
    }
    for (const auto& signal : signals) {
        signal->cancel();
    }
}

void request_pipeline::cancel_all()
{
    for (const auto& item : std::exchange(items_, {})) {
        item.cancel_signal->cancel();
    }
}

} // namespace savorywheel
