#ifndef SAVORYWHEEL_NODE_DOCUMENT_DATAGRAMS_HPP
#define SAVORYWHEEL_NODE_DOCUMENT_DATAGRAMS_HPP

#include <savorywheel/core/event_quota.hpp>
#include <savorywheel/distribution/datagram_parts.hpp>
#include <savorywheel/node/document_service.hpp>
#include <savorywheel/transport/datagram_channel.hpp>

#include <span>

namespace savorywheel {

/**
 * @brief Exchanges documents in datagrams, which do not wait behind the bodies of calls.
 *
 * The streams of a node behind a busy link deliver seconds late. A difference between two
 * configurations usually fits into a datagram; a long answer is divided, and a very long one is
 * only sent on the stream.
 * @warning Control thread only, except on_datagram().
 */
class document_datagrams {
public:
    /** @brief Dependencies; all must outlive the object. */
    struct environment {
        /** @brief Limits events queued by peers. */
        event_quota& quota;
        datagram_channel& datagrams;
        /** @brief Answers requests and receives answers. */
        document_service& documents;
        /** @brief Endpoint of this node. */
        network_endpoint self;
    };

    explicit document_datagrams(environment env) : environment_{std::move(env)} {}

    /** @brief Asks a peer for documents; the request may be lost. */
    void ask(const network_endpoint& peer, std::uint64_t id, const document_request& request);

    /**
     * @brief Decodes and queues a datagram; may be called from any thread.
     * @return Failure with code `malformed` or `overload` if it was dropped; true otherwise.
     */
    outcome<bool> on_datagram(std::span<const std::byte> payload);

private:
    void receive(const document_datagram& message);
    void answer(const document_datagram& request);
    void send(const network_endpoint& peer, const document_datagram& message);

    environment environment_;
    datagram_parts parts_;
};

} // namespace savorywheel

#endif
