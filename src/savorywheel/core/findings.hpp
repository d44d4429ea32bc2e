#ifndef SAVORYWHEEL_CORE_FINDINGS_HPP
#define SAVORYWHEEL_CORE_FINDINGS_HPP

#include <savorywheel/core/finding.hpp>

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace savorywheel {

/** @brief Collects the diagnostics of one text, so that all are reported together. */
class findings {
public:
    /**
     * @brief Adds a diagnostic.
     * @param place Position of the error.
     * @param found Description of the actual input.
     * @param expected Description of the valid input.
     */
    void add(text_position place, std::string found, std::string expected);

    [[nodiscard]] bool empty() const noexcept { return items_.empty(); }

    /** @return The diagnostics, in the order in which they were added. */
    [[nodiscard]] std::span<const finding> items() const noexcept { return items_; }

    /**
     * @brief Renders one line per diagnostic: "name:line:column: found ...; expected ...".
     * @param source Name of the text, for example the file name.
     */
    [[nodiscard]] std::string render(std::string_view source) const;

private:
    std::vector<finding> items_;
};

} // namespace savorywheel

#endif
