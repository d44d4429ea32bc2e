#ifndef SAVORYWHEEL_DISTRIBUTION_COMMIT_DECODER_HPP
#define SAVORYWHEEL_DISTRIBUTION_COMMIT_DECODER_HPP

#include <savorywheel/config/commit.hpp>
#include <savorywheel/core/failure.hpp>
#include <savorywheel/store/stored_object.hpp>

#include <optional>
#include <span>
#include <vector>

namespace savorywheel {

/** @brief Decodes consecutive commits from stored objects; stops at the first gap. */
class commit_decoder {
public:
    /** @param after Version that precedes the first commit to decode. */
    explicit commit_decoder(config_version after) noexcept : position_{after} {}

    /**
     * @brief Decodes objects up to the first version that is missing or malformed.
     * @param objects Objects in the order of their keys or of their creation.
     * @return The commits after position().
     */
    [[nodiscard]] std::vector<commit> decode(std::span<const stored_object> objects);

    /** @return Version of the last decoded commit. */
    [[nodiscard]] config_version position() const noexcept { return position_; }

    /** @return Reason why the last decode() stopped before the last object, if it did. */
    [[nodiscard]] const std::optional<failure>& fault() const noexcept { return fault_; }

private:
    config_version position_;
    std::optional<failure> fault_;
};

} // namespace savorywheel

#endif
