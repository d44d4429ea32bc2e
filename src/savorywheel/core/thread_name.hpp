#ifndef SAVORYWHEEL_CORE_THREAD_NAME_HPP
#define SAVORYWHEEL_CORE_THREAD_NAME_HPP

namespace savorywheel {

/**
 * @brief Sets the name of the calling thread, as shown in metrics and debuggers.
 * @param name Name; at most 15 characters, the limit of Linux.
 */
void set_thread_name(const char* name) noexcept;

} // namespace savorywheel

#endif
