#include <standin/platform/in_memory_object_store.hpp>

#include <algorithm>

namespace savorywheel::standin {

namespace {

constexpr std::size_t max_value_bytes = 1'000'000;

failure no_such_object(std::string_view key)
{
    return {failure_code::not_found, "no object " + std::string{key}};
}

failure conflict(std::string_view key)
{
    return {failure_code::conflict, "another revision of " + std::string{key}};
}

} // namespace

outcome<stored_object> in_memory_object_store::get(std::string_view key)
{
    const std::scoped_lock lock{mutex_};
    const auto found = objects_.find(key);
    if (found == objects_.end()) {
        return no_such_object(key);
    }
    return found->second;
}

outcome<std::uint64_t> in_memory_object_store::create(std::string_view key, std::string_view value)
{
    if (value.size() > max_value_bytes) {
        return failure{failure_code::invalid_argument, "value too large"};
    }
    const std::scoped_lock lock{mutex_};
    if (objects_.contains(key)) {
        return conflict(key);
    }
    ++revision_;
    objects_.emplace(std::string{key},
                     stored_object{std::string{key}, std::string{value}, revision_});
    changed_.notify_all();
    return revision_;
}

outcome<std::uint64_t> in_memory_object_store::update(std::string_view key, std::string_view value,
                                                      std::uint64_t expected)
{
    if (value.size() > max_value_bytes) {
        return failure{failure_code::invalid_argument, "value too large"};
    }
    const std::scoped_lock lock{mutex_};
    const auto found = objects_.find(key);
    if (found == objects_.end() || found->second.revision != expected) {
        return conflict(key);
    }
    found->second.value = value;
    found->second.revision = ++revision_;
    changed_.notify_all();
    return revision_;
}

outcome<std::uint64_t> in_memory_object_store::remove(std::string_view key, std::uint64_t expected)
{
    const std::scoped_lock lock{mutex_};
    const auto found = objects_.find(key);
    if (found == objects_.end() || found->second.revision != expected) {
        return conflict(key);
    }
    objects_.erase(found);
    return ++revision_;
}

outcome<object_list> in_memory_object_store::list(std::string_view prefix, std::string_view after)
{
    const std::scoped_lock lock{mutex_};
    object_list result;
    result.revision = revision_;
    for (auto item = objects_.lower_bound(prefix);
         item != objects_.end() && item->first.starts_with(prefix); ++item) {
        if (item->first > after) {
            result.objects.push_back(item->second);
        }
    }
    return result;
}

outcome<object_list> in_memory_object_store::watch(std::string_view prefix, std::uint64_t after,
                                                   std::chrono::milliseconds max_wait)
{
    std::unique_lock lock{mutex_};
    object_list result;
    const auto started_in = era_.load();
    if (started_in > 0 && after > revision_) {
        return failure{failure_code::not_found, "no such revision"};
    }
    changed_.wait_for(lock, max_wait, [&] {
        result = objects_after(prefix, after);
        return stopping_ || era_ != started_in || !result.objects.empty();
    });
    if (era_ != started_in) {
        return failure{failure_code::not_found, "the store was restored"};
    }
    result.revision = revision_;
    return result;
}

void in_memory_object_store::back_up()
{
    const std::scoped_lock lock{mutex_};
    saved_objects_ = objects_;
    saved_revision_ = revision_;
}

void in_memory_object_store::restore()
{
    const std::scoped_lock lock{mutex_};
    objects_ = saved_objects_;
    revision_ = saved_revision_;
    ++era_;
    changed_.notify_all();
}

void in_memory_object_store::stop()
{
    const std::scoped_lock lock{mutex_};
    stopping_ = true;
    changed_.notify_all();
}

object_list in_memory_object_store::objects_after(std::string_view prefix,
                                                  std::uint64_t after) const
{
    object_list result;
    for (auto item = objects_.lower_bound(prefix);
         item != objects_.end() && item->first.starts_with(prefix); ++item) {
        if (item->second.revision > after) {
            result.objects.push_back(item->second);
        }
    }
    std::ranges::sort(result.objects, {}, &stored_object::revision);
    return result;
}

} // namespace savorywheel::standin
