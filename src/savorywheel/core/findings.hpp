#ifndef SAVORYWHEEL_CORE_FINDINGS_HPP
#define SAVORYWHEEL_CORE_FINDINGS_HPP

#include <savorywheel/core/finding.hpp>

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace savorywheel {

/** @brief Collects the faults of one text, so that all are reported together. */
class findings {
public:
    /**
     * @brief Adds a fault.
     * @param place Where it stands.
     * @param found What was found.
     * @param expected What was expected.
     */
    void add(text_position place, std::string found, std::string expected);

    /** @return True if no fault was added. */
    [[nodiscard]] bool empty() const noexcept { return items_.empty(); }

    /** @return The faults, in the order of their addition. */
    [[nodiscard]] std::span<const finding> items() const noexcept { return items_; }

    /**
     * @brief Renders one line per fault: "name:line:column: found ...; expected ...".
     * @param source Name of the text, such as its file name.
     */
    [[nodiscard]] std::string render(std::string_view source) const;

private:
    std::vector<finding> items_;
};

} // namespace savorywheel

#endif
