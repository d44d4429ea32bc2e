#ifndef SAVORYWHEEL_APPS_LOAD_FIGURE_LIST_HPP
#define SAVORYWHEEL_APPS_LOAD_FIGURE_LIST_HPP

#include <load/figure.hpp>

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace savorywheel::load {

/** @brief Measured values in report order. */
class figure_list {
public:
    /**
     * @brief Appends a value.
     * @param name Name in the table and in JSON.
     * @param value Empty if it was not measured.
     * @param unit Unit as text.
     * @param budget Upper limit; empty if there is none.
     */
    void add(std::string name, std::optional<double> value, std::string unit,
             std::optional<double> budget = std::nullopt);

    /** @brief Appends all values of another list with a prefix added to their names. */
    void append(std::string_view prefix, const figure_list& other);

    [[nodiscard]] std::span<const figure> items() const noexcept { return items_; }

    /** @return Value of that name; empty if it is absent or was not measured. */
    [[nodiscard]] std::optional<double> find(std::string_view name) const;

    /** @return Text table, one value per line. */
    [[nodiscard]] std::string table() const;

    /** @return JSON array. */
    [[nodiscard]] std::string json() const;

private:
    std::vector<figure> items_;
};

} // namespace savorywheel::load

#endif
