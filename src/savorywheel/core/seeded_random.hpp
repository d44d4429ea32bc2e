#ifndef SAVORYWHEEL_CORE_SEEDED_RANDOM_HPP
#define SAVORYWHEEL_CORE_SEEDED_RANDOM_HPP

#include <savorywheel/core/random_source.hpp>

#include <mutex>
#include <random>

namespace savorywheel {

/** @brief Thread-safe Mersenne Twister, guarded by a mutex. */
class seeded_random final : public random_source {
public:
    /** @param seed Seed; the same seed gives the same sequence. */
    explicit seeded_random(std::uint64_t seed) : engine_{seed} {}

    [[nodiscard]] std::uint64_t below(std::uint64_t bound) override
    {
        const std::scoped_lock lock{mutex_};
        return std::uniform_int_distribution<std::uint64_t>{0, bound - 1}(engine_);
    }

private:
    std::mutex mutex_;
    std::mt19937_64 engine_;
};

} // namespace savorywheel

#endif
