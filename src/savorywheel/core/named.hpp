#ifndef SAVORYWHEEL_CORE_NAMED_HPP
#define SAVORYWHEEL_CORE_NAMED_HPP

#include <compare>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace savorywheel {

/**
 * @brief Text identifier whose tag keeps different kinds of identifier apart.
 * @tparam Tag Type that names the kind; it is never instantiated.
 */
template<typename Tag>
class named {
public:
    /** @brief Creates an empty identifier, which names nothing. */
    named() = default;

    /**
     * @brief Wraps a text.
     * @param text The identifier as operators and messages write it.
     */
    explicit named(std::string text) : text_{std::move(text)} {}

    /** @copydoc named(std::string) */
    explicit named(std::string_view text) : text_{text} {}

    /** @copydoc named(std::string) */
    explicit named(const char* text) : text_{text} {}

    /** @return The identifier's text. */
    [[nodiscard]] const std::string& str() const noexcept { return text_; }

    /** @return True if the identifier names nothing. */
    [[nodiscard]] bool empty() const noexcept { return text_.empty(); }

    /** @brief Orders identifiers by their text. */
    [[nodiscard]] friend auto operator<=>(const named&, const named&) = default;

private:
    std::string text_;
};

} // namespace savorywheel

/** @brief Hashes an identifier by its text. */
template<typename Tag>
struct std::hash<savorywheel::named<Tag>> {
    /** @return The hash of the identifier's text. */
    [[nodiscard]] std::size_t operator()(const savorywheel::named<Tag>& name) const noexcept
    {
        return std::hash<std::string>{}(name.str());
    }
};

#endif
