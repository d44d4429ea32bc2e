#ifndef SAVORYWHEEL_CORE_THREAD_NAME_HPP
#define SAVORYWHEEL_CORE_THREAD_NAME_HPP

namespace savorywheel {

/**
 * @brief Names the calling thread, for metrics and debuggers.
 * @param name Name, at most 15 characters.
 */
void set_thread_name(const char* name) noexcept;

} // namespace savorywheel

#endif
