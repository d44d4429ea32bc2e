#include <savorywheel/store/metered_object_store.hpp>

#include <utility>

namespace savorywheel {

metered_object_store::metered_object_store(object_store& inner, metric_registry& registry)
    : inner_{inner}, reads_{registry.count("store_reads")}, writes_{registry.count("store_writes")},
      watches_{registry.count("store_watches")}, checks_{registry.count("store_checks")},
      failures_{registry.count("store_failures")}, era_{registry.gauge({"store_era"})}
{
}

outcome<stored_object> metered_object_store::get(std::string_view key)
{
    return counted(reads_, inner_.get(key));
}

outcome<std::uint64_t> metered_object_store::create(std::string_view key, std::string_view value)
{
    return counted(writes_, inner_.create(key, value));
}

outcome<std::uint64_t> metered_object_store::update(std::string_view key, std::string_view value,
                                                    std::uint64_t expected_revision)
{
    return counted(writes_, inner_.update(key, value, expected_revision));
}

outcome<std::uint64_t> metered_object_store::remove(std::string_view key,
                                                    std::uint64_t expected_revision)
{
    return counted(writes_, inner_.remove(key, expected_revision));
}

outcome<object_list> metered_object_store::list(std::string_view prefix, std::string_view after)
{
    return counted(reads_, inner_.list(prefix, after));
}

outcome<object_list> metered_object_store::watch(std::string_view prefix, std::uint64_t after,
                                                 std::chrono::milliseconds max_wait)
{
    return counted(watches_, inner_.watch(prefix, after, max_wait));
}

outcome<object_list> metered_object_store::watch_until_cancelled(std::string_view prefix,
                                                                 std::uint64_t after,
                                                                 std::chrono::milliseconds max_wait,
                                                                 cancellation& cancel_signal)
{
    auto result = inner_.watch_until_cancelled(prefix, after, max_wait, cancel_signal);
    if (cancel_signal.cancelled()) {
        // Not a failure of the store.
        watches_ += 1;
        return result;
    }
    return counted(watches_, std::move(result));
}

outcome<object_list> metered_object_store::read(std::string_view prefix,
                                                std::optional<std::uint64_t> after,
                                                std::chrono::milliseconds timeout)
{
    return counted(checks_, inner_.read(prefix, after, timeout));
}

template<typename Result>
Result metered_object_store::counted(counter& calls, Result result)
{
    calls += 1;
    era_ = inner_.era().value_or(0);
    if (!result) {
        failures_ += 1;
    }
    return result;
}

} // namespace savorywheel
