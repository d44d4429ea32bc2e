#ifndef SAVORYWHEEL_LOG_EVENT_CATALOGUE_HPP
#define SAVORYWHEEL_LOG_EVENT_CATALOGUE_HPP

#include <savorywheel/log/event_description.hpp>

#include <span>

namespace savorywheel {

/** @return All log events, in the order of their numbers. */
[[nodiscard]] std::span<const event_description> event_catalogue() noexcept;

/** @return The catalogue entry of an event; the first entry if the id is unknown. */
[[nodiscard]] const event_description& describe(event_id id) noexcept;

} // namespace savorywheel

#endif
