#ifndef SAVORYWHEEL_DISTRIBUTION_DOCUMENT_REQUEST_HPP
#define SAVORYWHEEL_DISTRIBUTION_DOCUMENT_REQUEST_HPP

#include <savorywheel/core/config_version.hpp>

#include <cstdint>

namespace savorywheel {

/** @brief Request for a peer's documents; names the configuration that need not be sent again. */
struct document_request {
    /** @brief Version of the configuration that the requester has; zero if there is none. */
    config_version version;
    /** @brief Revision of that configuration. */
    std::uint64_t revision{};

    [[nodiscard]] friend bool operator==(const document_request&,
                                         const document_request&) = default;
};

} // namespace savorywheel

#endif
