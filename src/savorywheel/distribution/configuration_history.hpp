#ifndef SAVORYWHEEL_DISTRIBUTION_CONFIGURATION_HISTORY_HPP
#define SAVORYWHEEL_DISTRIBUTION_CONFIGURATION_HISTORY_HPP

#include <savorywheel/config/operator_configuration.hpp>
#include <savorywheel/distribution/document_request.hpp>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <utility>

namespace savorywheel {

/**
 * @brief Configurations kept for differences.
 *
 * A node that misses more than these has missed a burst of 16 batches, 10 s, and gets the whole
 * configuration. 16 of 800 routes take about 3 MB.
 */
inline constexpr std::size_t max_previous_configurations = 16;

/** @brief The last configurations that this node has replaced. */
class configuration_history {
public:
    /** @brief A configuration and the revision of its object. */
    struct entry {
        operator_configuration configuration;
        std::uint64_t revision{};
    };

    /** @brief Adds a configuration; drops the oldest one if there are too many. */
    void add(operator_configuration configuration, std::uint64_t revision)
    {
        entries_.push_back({std::move(configuration), revision});
        if (entries_.size() > max_previous_configurations) {
            entries_.pop_front();
        }
    }

    /** @return The configuration that a requester has; nullptr if this node no longer has it. */
    [[nodiscard]] const entry* find(const document_request& request) const
    {
        const auto found = std::ranges::find_if(entries_, [&request](const entry& item) {
            return item.revision == request.revision &&
                   item.configuration.version == request.version;
        });
        return found == entries_.end() ? nullptr : &*found;
    }

private:
    std::deque<entry> entries_;
};

} // namespace savorywheel

#endif
