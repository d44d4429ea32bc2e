#ifndef SAVORYWHEEL_CORE_CONFIGURATION_HEAD_HPP
#define SAVORYWHEEL_CORE_CONFIGURATION_HEAD_HPP

#include <savorywheel/core/config_version.hpp>

#include <cstdint>

namespace savorywheel {

/** @brief Summary of a node's configuration, by which its peers detect that theirs is older. */
struct configuration_head {
    /** @brief Version of the state: the last commit, or the sum of the documents' revisions. */
    config_version version;
    /** @brief Version that operators gave their configuration; zero if there is none. */
    config_version operator_version;
    /** @brief Digest of the documents' revisions; zero if there are none. */
    std::uint64_t digest{};

    [[nodiscard]] friend bool operator==(const configuration_head&,
                                         const configuration_head&) = default;
};

} // namespace savorywheel

#endif
