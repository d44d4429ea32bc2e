#ifndef SAVORYWHEEL_TEST_SUPPORT_SOURCE_RESULT_HPP
#define SAVORYWHEEL_TEST_SUPPORT_SOURCE_RESULT_HPP

namespace savorywheel::test {

/** @brief What the callers of a call source got. */
struct source_result {
    int calls{};
    /** @brief Responses within the target latency. */
    int in_time{};
    /** @brief Responses after the target latency and before the deadline. */
    int late{};
    /** @brief Without a response at the deadline. */
    int expired{};
    /** @brief Of the expired ones, those that were still queued. */
    int expired_in_queue{};
    int refused{};
    /** @brief Refused as overload without a time after which to retry. */
    int refused_without_time{};
    /** @brief Sum of the times until the refusals. */
    double refused_after_ms{};
    /** @brief Sum of the times in the queue of the calls that ran. */
    double waited_ms{};

    /** @return Fraction of the calls. */
    [[nodiscard]] double share(int count) const
    {
        return calls == 0 ? 0.0 : static_cast<double>(count) / calls;
    }

    /** @brief Adds the results of another source. */
    source_result& operator+=(const source_result& other)
    {
        calls += other.calls;
        in_time += other.in_time;
        late += other.late;
        expired += other.expired;
        expired_in_queue += other.expired_in_queue;
        refused += other.refused;
        refused_without_time += other.refused_without_time;
        refused_after_ms += other.refused_after_ms;
        waited_ms += other.waited_ms;
        return *this;
    }
};

} // namespace savorywheel::test

#endif
