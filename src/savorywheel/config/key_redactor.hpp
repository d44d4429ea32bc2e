#ifndef SAVORYWHEEL_CONFIG_KEY_REDACTOR_HPP
#define SAVORYWHEEL_CONFIG_KEY_REDACTOR_HPP

#include <savorywheel/config/key_digest.hpp>
#include <savorywheel/core/text_position.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace savorywheel {

/** @brief Replaces the API keys of a configuration text by their digests, so that it can be kept.
 */
class key_redactor {
public:
    /** @brief Creates a redactor of an empty text. */
    key_redactor() = default;

    /** @param text Configuration text; must outlive the calls of replace(). */
    explicit key_redactor(std::string_view text);

    /**
     * @brief Replaces a key.
     * @param place Start of the key in the text, or of its quotes; after those of earlier calls.
     * @param key The key as YAML reads it.
     * @return False if the text at that place is not the key itself, with or without quotes, so
     * that it cannot be replaced safely.
     */
    [[nodiscard]] bool replace(text_position place, std::string_view key);

    /** @return The text with the digests. */
    [[nodiscard]] std::string text() const;

private:
    std::string_view text_;
    std::vector<std::size_t> line_starts_;
    /** Text before the end of the last replaced key. */
    std::string replaced_;
    std::size_t end_{};
};

} // namespace savorywheel

#endif
