#ifndef SAVORYWHEEL_APPS_LOAD_FIGURE_LIST_HPP
#define SAVORYWHEEL_APPS_LOAD_FIGURE_LIST_HPP

#include <load/figure.hpp>

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace savorywheel::load {

/** @brief Measured values in the order of a report. */
class figure_list {
public:
    /**
     * @brief Adds a value.
     * @param name Name.
     * @param value Value; none if it was not measured.
     * @param unit Unit.
     * @param budget Greatest value that the budget allows.
     */
    void add(std::string name, std::optional<double> value, std::string unit,
             std::optional<double> budget = std::nullopt);

    /** @brief Adds all values of another list, each name after a prefix. */
    void append(std::string_view prefix, const figure_list& other);

    /** @return The values. */
    [[nodiscard]] std::span<const figure> items() const noexcept { return items_; }

    /** @return The value of that name; none if it is absent or was not measured. */
    [[nodiscard]] std::optional<double> find(std::string_view name) const;

    /** @return A table for people. */
    [[nodiscard]] std::string table() const;

    /** @return A JSON array for programs. */
    [[nodiscard]] std::string json() const;

private:
    std::vector<figure> items_;
};

} // namespace savorywheel::load

#endif
