#include <standin/node/delayed_object_store.hpp>

#include <thread>

namespace savorywheel::standin {

namespace {

template<typename Call>
auto call_with_delay(duration delay, Call call)
{
    std::this_thread::sleep_for(delay);
    auto result = call();
    std::this_thread::sleep_for(delay);
    return result;
}

} // namespace

outcome<stored_object> delayed_object_store::get(std::string_view key)
{
    return call_with_delay(delay_, [&] { return inner_.get(key); });
}

outcome<std::uint64_t> delayed_object_store::create(std::string_view key, std::string_view value)
{
    return call_with_delay(delay_, [&] { return inner_.create(key, value); });
}

outcome<std::uint64_t> delayed_object_store::update(std::string_view key, std::string_view value,
                                                    std::uint64_t expected)
{
    return call_with_delay(delay_, [&] { return inner_.update(key, value, expected); });
}

outcome<std::uint64_t> delayed_object_store::remove(std::string_view key, std::uint64_t expected)
{
    return call_with_delay(delay_, [&] { return inner_.remove(key, expected); });
}

outcome<object_list> delayed_object_store::list(std::string_view prefix, std::string_view after)
{
    return call_with_delay(delay_, [&] { return inner_.list(prefix, after); });
}

outcome<object_list> delayed_object_store::watch(std::string_view prefix, std::uint64_t after,
                                                 std::chrono::milliseconds max_wait)
{
    return call_with_delay(delay_, [&] { return inner_.watch(prefix, after, max_wait); });
}

} // namespace savorywheel::standin
