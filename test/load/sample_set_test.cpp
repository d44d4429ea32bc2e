#include <gtest/gtest.h>
#include <load/sample_set.hpp>

namespace savorywheel::test {

TEST(sample_set, computes_exact_quantiles)
{
    load::sample_set set{{5.0, 1.0, 3.0, 2.0}};
    set.add(4.0);
    EXPECT_EQ(set.minimum(), 1.0);
    EXPECT_EQ(set.median(), 3.0);
    EXPECT_EQ(set.quantile(0.8), 4.0);
    EXPECT_EQ(set.quantile(0.81), 5.0);
    EXPECT_EQ(set.maximum(), 5.0);
    EXPECT_EQ(set.mean(), 3.0);
}

TEST(sample_set, is_zero_without_samples)
{
    const load::sample_set set;
    EXPECT_EQ(set.median(), 0.0);
    EXPECT_EQ(set.mean(), 0.0);
}

} // namespace savorywheel::test
