#ifndef SAVORYWHEEL_APPS_LOAD_SAMPLE_SET_HPP
#define SAVORYWHEEL_APPS_LOAD_SAMPLE_SET_HPP

#include <span>
#include <vector>

namespace savorywheel::load {

/** @brief Sorted samples with exact quantiles; these and the mean are zero without samples. */
class sample_set {
public:
    sample_set() = default;

    /** @param values Samples in any order. */
    explicit sample_set(std::vector<double> values);

    /** @brief Inserts a sample; linear in the number of samples. */
    void add(double value);

    /** @return Smallest sample that is no less than the given share of all samples. */
    [[nodiscard]] double quantile(double share) const;

    [[nodiscard]] double median() const { return quantile(0.5); }

    [[nodiscard]] double maximum() const { return quantile(1.0); }

    [[nodiscard]] double minimum() const { return quantile(0.0); }

    [[nodiscard]] double mean() const;

    /** @return Samples in ascending order. */
    [[nodiscard]] std::span<const double> sorted() const noexcept { return values_; }

private:
    std::vector<double> values_;
};

} // namespace savorywheel::load

#endif
