#include <savorywheel/core/thread_name.hpp>

#include <pthread.h>

namespace savorywheel {

void set_thread_name(const char* name) noexcept
{
    pthread_setname_np(pthread_self(), name);
}

} // namespace savorywheel
