#ifndef SAVORYWHEEL_DISTRIBUTION_DOCUMENT_ANSWER_HPP
#define SAVORYWHEEL_DISTRIBUTION_DOCUMENT_ANSWER_HPP

#include <savorywheel/config/configuration_delta.hpp>
#include <savorywheel/distribution/operator_documents.hpp>

#include <optional>

namespace savorywheel {

/** @brief Response to a document_request. */
struct document_answer {
    /**
     * @brief All orders, and the configuration if it is newer than that of the requester.
     *
     * With a difference, the revision is that of the configuration which the difference describes,
     * and the configuration is empty.
     */
    operator_documents documents;
    /** @brief Difference from the configuration of the requester. */
    std::optional<configuration_delta> delta;
};

} // namespace savorywheel

#endif
