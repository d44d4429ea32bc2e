#ifndef SAVORYWHEEL_EXPLAIN_FWD_HPP
#define SAVORYWHEEL_EXPLAIN_FWD_HPP

namespace savorywheel {

class request_trace;
struct log_line;

} // namespace savorywheel

#endif
