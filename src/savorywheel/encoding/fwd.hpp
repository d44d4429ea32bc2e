#ifndef SAVORYWHEEL_ENCODING_FWD_HPP
#define SAVORYWHEEL_ENCODING_FWD_HPP

namespace savorywheel {

class span_input_archive;
class vector_output_archive;

} // namespace savorywheel

#endif
