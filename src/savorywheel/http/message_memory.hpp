#ifndef SAVORYWHEEL_HTTP_MESSAGE_MEMORY_HPP
#define SAVORYWHEEL_HTTP_MESSAGE_MEMORY_HPP

#include <savorywheel/http/http_header.hpp>
#include <savorywheel/http/http_response.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace savorywheel {

/**
 * @return Memory of a text outside of the string object, in bytes.
 *
 * Larger blocks come from the system one by one (see return_large_blocks_to_the_system()); their
 * unused part has no memory yet.
 */
[[nodiscard]] std::size_t memory_of(const std::string& text) noexcept;

/** @return Memory of a field's texts outside of the vector's elements, in bytes. */
[[nodiscard]] std::size_t memory_of(const http_header& field) noexcept;

/** @return Memory of the vector's elements, in bytes: a field of four bytes takes 64 and more. */
[[nodiscard]] std::size_t memory_of_elements(const std::vector<http_header>& fields) noexcept;

/** @return Memory of a response, in bytes. */
[[nodiscard]] std::size_t memory_of(const http_response& response) noexcept;

} // namespace savorywheel

#endif
