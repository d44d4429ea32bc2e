#include <savorywheel/encoding/codec.hpp>
#include <savorywheel/node/datagram_input.hpp>
#include <savorywheel/node/document_datagrams.hpp>

#include <algorithm>
#include <utility>

namespace savorywheel {

namespace {

/** The rest of a datagram is for the other fields. */
constexpr std::size_t part_bytes = max_datagram_bytes - 200;

} // namespace

void document_datagrams::ask(const network_endpoint& peer, std::uint64_t id,
                             const document_request& request)
{
    send(peer, {document_protocol, id, environment_.self, request, 0, 0, {}});
}

outcome<bool> document_datagrams::on_datagram(std::span<const std::byte> payload)
{
    return post_datagram<document_datagram>(
        environment_.quota, payload,
        [this](const document_datagram& message) { receive(message); });
}

void document_datagrams::receive(const document_datagram& message)
{
    if (message.parts == 0) {
        answer(message);
        return;
    }
    if (const auto whole = parts_.add(message)) {
        environment_.documents.on_datagram_answer(message.id, *whole);
    }
}

void document_datagrams::answer(const document_datagram& request)
{
    auto rest = environment_.documents.newer_documents(request.request);
    const auto parts = (rest.size() + part_bytes - 1) / part_bytes;
    if (parts > max_datagram_parts) {
        return;
    }
    document_datagram part{document_protocol,
                           request.id,
                           environment_.self,
                           request.request,
                           0,
                           static_cast<std::uint16_t>(parts),
                           {}};
    for (; part.part < parts; ++part.part) {
        const auto bytes = rest.first(std::min(rest.size(), part_bytes));
        part.answer.assign(bytes.begin(), bytes.end());
        rest = rest.subspan(bytes.size());
        send(request.sender_peer, part);
    }
}

void document_datagrams::send(const network_endpoint& peer, const document_datagram& message)
{
    environment_.datagrams.send(peer, encode(message));
}

} // namespace savorywheel
