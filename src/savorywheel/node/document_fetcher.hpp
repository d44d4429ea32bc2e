#ifndef SAVORYWHEEL_NODE_DOCUMENT_FETCHER_HPP
#define SAVORYWHEEL_NODE_DOCUMENT_FETCHER_HPP

#include <savorywheel/core/control_loop.hpp>
#include <savorywheel/distribution/document_answer.hpp>
#include <savorywheel/distribution/operator_documents.hpp>
#include <savorywheel/log/event_log.hpp>
#include <savorywheel/transport/peer_network.hpp>
#include <savorywheel/transport/request_client.hpp>

#include <cstdint>
#include <functional>
#include <span>
#include <vector>

namespace savorywheel {

/**
 * @brief Fetches documents that this node lacks from peers that have them.
 *
 * Asks one peer after the other, each after a short time without a response, so that a peer that
 * does not respond costs little of the time within which a change must be in force.
 * @warning Only for use on the control thread.
 */
class document_fetcher {
public:
    /** @brief Dependencies; all must outlive the fetcher. */
    struct environment {
        /** @brief Event loop of the control thread. */
        control_loop& loop;
        /** @brief Stream connections to peers. */
        peer_network& network;
        /** @brief Sends requests to peers and matches the responses. */
        request_client& requests;
        event_log& log;
        /** @brief This node's documents. */
        const operator_documents& documents;
        /**
         * @brief Merges the answer of a peer; returns a failure if its difference does not apply to
         * this node's configuration.
         */
        std::function<outcome<bool>(const network_endpoint& peer, const document_answer& received)>
            received;
        /** @brief Called once for each fetch in which a peer has not responded in time. */
        std::function<void()> delayed;
        /** @brief Called when nothing is fetched any more. */
        std::function<void()> ended;
        /** @brief Sends a request in a datagram as well, with the number that on_answer() takes. */
        std::function<void(const network_endpoint& peer, std::uint64_t request,
                           const document_request& base)>
            ask_by_datagram;
    };

    /** @param env Dependencies. */
    explicit document_fetcher(environment env) : environment_{std::move(env)} {}

    /**
     * @brief Fetches from a peer, unless other sources deliver the documents sooner.
     * @param peer Peer that has, or is about to have, documents that this node lacks.
     * @param remote Head of these documents.
     * @param delay Time for which another source may still deliver them.
     */
    void add_source(const network_endpoint& peer, const configuration_head& remote, duration delay);

    /** @brief Ends the fetch if this node lacks nothing any more. */
    void on_documents_changed();

    /** @brief Processes the answer to a request in a datagram. */
    void on_answer(std::uint64_t request, std::span<const std::byte> answer);

    /** @return True while this node lacks documents that a source has. */
    [[nodiscard]] bool active() const noexcept { return !sources_.empty(); }

    /** @brief Ends the fetch; late responses are ignored. */
    void stop();

private:
    struct source {
        network_endpoint peer;
        configuration_head head;
        /** End of the time for which another source may still deliver the documents. */
        monotonic_time due;
        /** Request that was sent to the peer; zero if there is none. */
        std::uint64_t request{};
        monotonic_time asked_at;
        /** Configuration that the request named. */
        document_request base;
        /** True if the request was sent in a datagram as well. */
        bool by_datagram{};
    };

    /** Makes room for another source in place of the one that was asked first; false if none was.
     */
    [[nodiscard]] bool make_room();
    /** Waits until the next source is due and the last one has had its time. */
    void wait();
    void ask_next();
    /** Once a stream has delayed this fetch, others may be as slow, since they share the link. */
    void ask_by_datagram();
    void on_response(std::uint64_t request, const request_client::response& answer);
    void merge(const source& responded, const document_answer& remote);
    void remove_useless_sources();

    environment environment_;
    std::vector<source> sources_;
    bool delay_reported_{};
    /** True after a difference that could not be applied. */
    bool whole_needed_{};
    subscription timer_;
};

} // namespace savorywheel

#endif
