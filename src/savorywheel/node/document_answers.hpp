#ifndef SAVORYWHEEL_NODE_DOCUMENT_ANSWERS_HPP
#define SAVORYWHEEL_NODE_DOCUMENT_ANSWERS_HPP

#include <savorywheel/distribution/configuration_history.hpp>
#include <savorywheel/distribution/operator_documents.hpp>
#include <savorywheel/node/document_counters.hpp>

#include <cstddef>
#include <map>
#include <utility>
#include <vector>

namespace savorywheel {

/**
 * @brief Answers the requests of peers with the smallest message that has what they lack.
 *
 * Up to six children of a tree ask for the same, so each answer is encoded once.
 * @warning Only for use on the control thread.
 */
class document_answers {
public:
    /**
     * @param documents This node's documents; must outlive this object.
     * @param counters Receives what was sent; must outlive this object.
     */
    document_answers(const operator_documents& documents, document_counters& counters)
        : documents_{documents}, counters_{counters}
    {
    }

    /** @brief Keeps a configuration that was replaced. */
    void keep(operator_configuration previous, std::uint64_t revision);

    /** @brief Forgets the answers from the previous documents. */
    void on_documents_changed() { encoded_.clear(); }

    /** @return True if this node has a newer configuration than the requester. */
    [[nodiscard]] bool has_newer(const document_request& request) const;

    /** @return The encoded answer; valid until the next call. */
    [[nodiscard]] const std::vector<std::byte>& answer(const document_request& request);

private:
    struct encoded_answer {
        std::vector<std::byte> bytes;
        bool is_delta{};
    };
    using answer_key = std::pair<config_version, std::uint64_t>;

    [[nodiscard]] encoded_answer encode_answer(const document_request& request,
                                               const configuration_history::entry* base) const;

    const operator_documents& documents_;
    document_counters& counters_;
    configuration_history history_;
    /** Answers by the configuration of the requester; zero for one that is not in the history. */
    std::map<answer_key, encoded_answer> encoded_;
    std::vector<std::byte> orders_only_;
};

} // namespace savorywheel

#endif
