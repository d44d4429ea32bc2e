#ifndef SAVORYWHEEL_HTTP_HOP_BY_HOP_HPP
#define SAVORYWHEEL_HTTP_HOP_BY_HOP_HPP

#include <savorywheel/http/http_header.hpp>

#include <vector>

namespace savorywheel {

/** @brief Removes the fields that apply to one connection and must not be forwarded. */
void remove_hop_by_hop_headers(std::vector<http_header>& headers);

} // namespace savorywheel

#endif
