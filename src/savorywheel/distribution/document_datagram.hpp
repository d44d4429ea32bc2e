#ifndef SAVORYWHEEL_DISTRIBUTION_DOCUMENT_DATAGRAM_HPP
#define SAVORYWHEEL_DISTRIBUTION_DOCUMENT_DATAGRAM_HPP

#include <savorywheel/core/network_endpoint.hpp>
#include <savorywheel/distribution/document_request.hpp>
#include <savorywheel/transport/frame_header.hpp>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace savorywheel {

/** @brief First byte of a document_datagram, which tells it from other datagrams. */
inline constexpr std::uint8_t document_protocol = 0xA0U | protocol_version;

/** @brief Request for documents, or its answer, in a datagram. */
struct document_datagram {
    std::uint8_t protocol{document_protocol};
    /** @brief Identifies the request at the requester. */
    std::uint64_t id{};
    /** @brief Endpoint of the sender. */
    network_endpoint sender_peer;
    /** @brief What the requester has; only in a request. */
    document_request request;
    /** @brief Number of this part of an answer, from zero. */
    std::uint16_t part{};
    /** @brief Number of parts of the answer; zero in a request. */
    std::uint16_t parts{};
    /** @brief Part of an encoded document_answer; empty in a request. */
    std::vector<std::byte> answer;
};

} // namespace savorywheel

#endif
