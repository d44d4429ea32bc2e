#ifndef SAVORYWHEEL_CORE_ALLOCATOR_HPP
#define SAVORYWHEEL_CORE_ALLOCATOR_HPP

namespace savorywheel {

/**
 * @brief Makes the allocator return each freed block of 128 KiB or more to the operating system.
 *
 * By default, freeing such a block raises the size from which blocks are returned, up to 32 MiB,
 * and each thread may then keep that much. To be called once, before the first thread is started.
 * @return False if the allocator does not support the setting.
 */
bool return_large_blocks_to_the_system() noexcept;

} // namespace savorywheel

#endif
