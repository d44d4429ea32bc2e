#ifndef SAVORYWHEEL_IO_FWD_HPP
#define SAVORYWHEEL_IO_FWD_HPP

namespace savorywheel {

class io_loop;

} // namespace savorywheel

#endif
