#include <savorywheel/distribution/datagram_parts.hpp>

namespace savorywheel {

namespace {

/** More than a node asks before it gives up the first of them. */
constexpr std::size_t max_answers = 8;

} // namespace

std::optional<std::vector<std::byte>> datagram_parts::add(const document_datagram& message)
{
    if (message.parts == 0 || message.parts > max_datagram_parts || message.part >= message.parts) {
        return std::nullopt;
    }
    if (!answers_.contains(message.id) && answers_.size() >= max_answers) {
        answers_.erase(answers_.begin());
    }
    auto& known = answers_[message.id];
    if (known.parts != message.parts || known.sender != message.sender_peer) {
        known = {message.sender_peer, message.parts, {}};
    }
    known.received.insert_or_assign(message.part, message.answer);
    if (known.received.size() < known.parts) {
        return std::nullopt;
    }
    std::vector<std::byte> whole;
    for (const auto& [number, bytes] : known.received) {
        whole.insert(whole.end(), bytes.begin(), bytes.end());
    }
    answers_.erase(message.id);
    return whole;
}

} // namespace savorywheel
