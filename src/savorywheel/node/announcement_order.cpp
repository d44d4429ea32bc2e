#include <savorywheel/node/announcement_order.hpp>

#include <algorithm>
#include <utility>

namespace savorywheel {

namespace {

/** A VM runs one backend server at a time, so few leave while announcements are in flight. */
constexpr std::size_t max_departures = 16;
/** Late announcements of an ended start may arrive together. */
constexpr int min_spacing_divisor = 3;

} // namespace

bool announcement_order::start::is_same(const backend_announcement& announcement) const noexcept
{
    return announcement.started_at == started_at && announcement.backend.identity == identity;
}

announcement_order::start announcement_order::make_start(const backend_announcement& announcement,
                                                         monotonic_time now)
{
    return {announcement.backend.identity, announcement.started_at, announcement.sequence, now};
}

bool announcement_order::record(const backend_announcement& announcement, monotonic_time now)
{
    const bool left_before = has_left(announcement);
    if (announcement.backend.state == server_state::draining) {
        add_departure({announcement.backend.identity, announcement.started_at});
    }
    if (left_before) {
        if (!continues_to_drain(announcement)) {
            return false;
        }
    }
    else if (!is_newer(announcement)) {
        if (!replaces_silent(announcement, now)) {
            return false;
        }
        superseded_ = current_;
    }
    current_ = make_start(announcement, now);
    candidate_.reset();
    return true;
}

bool announcement_order::is_displaced(const backend_announcement& announcement) const
{
    return !has_left(announcement) && current_ && !current_->is_same(announcement);
}

bool announcement_order::leave(std::string_view identity, std::uint64_t now)
{
    const bool is_current = current_ && current_->identity == identity;
    if (is_current) {
        current_->is_gone = true;
        add_departure({std::string{identity}, current_->started_at});
    }
    else if (candidate_ && candidate_->identity == identity) {
        add_departure({std::string{identity}, candidate_->started_at});
    }
    else {
        // After a restart of the node, the deregistration may arrive before any announcement. The
        // backend server runs on the same VM, so its start time is comparable with this clock.
        add_departure({std::string{identity}, now, false});
    }
    return is_current;
}

bool announcement_order::add_departures(std::span<const backend_departure> departures)
{
    const auto since_start = std::exchange(departures_, {});
    for (const auto& group : {departures, std::span{since_start}}) {
        for (const auto& item : group) {
            add_departure(item);
        }
    }
    if (!current_ || current_->is_gone) {
        return false;
    }
    current_->is_gone = has_left(current_->identity, current_->started_at);
    return current_->is_gone;
}

bool announcement_order::has_left(std::string_view identity, std::uint64_t started_at) const
{
    return std::ranges::any_of(departures_, [&](const backend_departure& item) {
        return item.identity == identity &&
               (item.is_exact ? item.started_at == started_at : item.started_at >= started_at);
    });
}

bool announcement_order::has_left(const backend_announcement& announcement) const
{
    return has_left(announcement.backend.identity, announcement.started_at);
}

bool announcement_order::continues_to_drain(const backend_announcement& announcement) const
{
    return announcement.backend.state == server_state::draining && current_ && !current_->is_gone &&
           current_->is_same(announcement) && announcement.sequence > current_->sequence;
}

bool announcement_order::is_newer(const backend_announcement& announcement) const
{
    if (!current_) {
        return !needs_confirmation_;
    }
    if (current_->is_same(announcement)) {
        return announcement.sequence > current_->sequence;
    }
    return announcement.started_at >= current_->started_at &&
           !(superseded_ && superseded_->is_same(announcement));
}

bool announcement_order::replaces_silent(const backend_announcement& announcement,
                                         monotonic_time now)
{
    if (!candidate_ || !candidate_->is_same(announcement)) {
        candidate_ = make_start(announcement, now);
        return false;
    }
    if (announcement.sequence <= candidate_->sequence) {
        return false;
    }
    candidate_->sequence = announcement.sequence;
    const bool is_spaced = now - candidate_->heard_at >= silence_ / min_spacing_divisor;
    return is_spaced && (!current_ || current_->is_gone || now - current_->heard_at >= silence_);
}

void announcement_order::add_departure(backend_departure departure)
{
    if (std::ranges::find(departures_, departure) != departures_.end()) {
        return;
    }
    if (departures_.size() >= max_departures) {
        departures_.erase(departures_.begin());
    }
    departures_.push_back(std::move(departure));
}

} // namespace savorywheel
