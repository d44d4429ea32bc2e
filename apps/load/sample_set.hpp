#ifndef SAVORYWHEEL_APPS_LOAD_SAMPLE_SET_HPP
#define SAVORYWHEEL_APPS_LOAD_SAMPLE_SET_HPP

#include <span>
#include <vector>

namespace savorywheel::load {

/** @brief Exact quantiles of samples. */
class sample_set {
public:
    sample_set() = default;

    /** @param values The samples, in any order. */
    explicit sample_set(std::vector<double> values);

    /** @brief Adds a sample. */
    void add(double value);

    /** @return The smallest sample that is not below a share of all; zero if there is none. */
    [[nodiscard]] double quantile(double share) const;

    /** @return The middle sample. */
    [[nodiscard]] double median() const { return quantile(0.5); }

    /** @return The greatest sample. */
    [[nodiscard]] double maximum() const { return quantile(1.0); }

    /** @return The smallest sample. */
    [[nodiscard]] double minimum() const { return quantile(0.0); }

    /** @return The mean; zero without samples. */
    [[nodiscard]] double mean() const;

    /** @return The samples in ascending order. */
    [[nodiscard]] std::span<const double> sorted() const noexcept { return values_; }

private:
    std::vector<double> values_;
};

} // namespace savorywheel::load

#endif
