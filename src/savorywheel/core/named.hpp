#ifndef SAVORYWHEEL_CORE_NAMED_HPP
#define SAVORYWHEEL_CORE_NAMED_HPP

#include <compare>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace savorywheel {

/**
 * @brief Strongly typed string identifier; different tags give incompatible types.
 * @tparam Tag Incomplete type that distinguishes the kind of identifier.
 */
template<typename Tag>
class named {
public:
    named() = default;

    /**
     * @brief Wraps a string.
     * @param text Identifier as used in configurations and messages.
     */
    explicit named(std::string text) : text_{std::move(text)} {}

    /** @copydoc named(std::string) */
    explicit named(std::string_view text) : text_{text} {}

    /** @copydoc named(std::string) */
    explicit named(const char* text) : text_{text} {}

    [[nodiscard]] const std::string& str() const noexcept { return text_; }

    [[nodiscard]] bool empty() const noexcept { return text_.empty(); }

    [[nodiscard]] friend auto operator<=>(const named&, const named&) = default;

private:
    std::string text_;
};

} // namespace savorywheel

/** @brief Hash of the identifier's string. */
template<typename Tag>
struct std::hash<savorywheel::named<Tag>> {
    [[nodiscard]] std::size_t operator()(const savorywheel::named<Tag>& name) const noexcept
    {
        return std::hash<std::string>{}(name.str());
    }
};

#endif
