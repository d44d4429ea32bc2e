#ifndef SAVORYWHEEL_DISTRIBUTION_COMMIT_DECODER_HPP
#define SAVORYWHEEL_DISTRIBUTION_COMMIT_DECODER_HPP

#include <savorywheel/config/commit.hpp>
#include <savorywheel/core/failure.hpp>
#include <savorywheel/store/stored_object.hpp>

#include <optional>
#include <span>
#include <vector>

namespace savorywheel {

/** @brief Reads the ordered log from stored objects without leaving out a version. */
class commit_decoder {
public:
    /** @param after Version before the first one to read. */
    explicit commit_decoder(config_version after) noexcept : position_{after} {}

    /**
     * @brief Reads objects up to the first that is missing or cannot be decoded.
     * @param objects Objects, in the order of their keys or of their creation.
     * @return The commits that follow the position.
     */
    [[nodiscard]] std::vector<commit> decode(std::span<const stored_object> objects);

    /** @return Version of the last commit that was read. */
    [[nodiscard]] config_version position() const noexcept { return position_; }

    /** @return Why reading ended before the last object, if it did; the next take() clears it. */
    [[nodiscard]] const std::optional<failure>& fault() const noexcept { return fault_; }

private:
    config_version position_;
    std::optional<failure> fault_;
};

} // namespace savorywheel

#endif
