#ifndef SAVORYWHEEL_TRAFFIC_RESPONSE_SIZES_HPP
#define SAVORYWHEEL_TRAFFIC_RESPONSE_SIZES_HPP

#include <savorywheel/core/names.hpp>

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace savorywheel {

/**
 * @brief Mean size of the response bodies of each route; not thread-safe.
 *
 * Lets a call with a large response be placed as near as one with a large request.
 */
class response_sizes {
public:
    /** @brief Records the size of a response body, in bytes. */
    void record(const service_name& service, std::string_view route, std::size_t bytes);

    /** @return Mean size in bytes; zero before the first response. */
    [[nodiscard]] std::size_t expected(const service_name& service, std::string_view route) const;

private:
    using key = std::pair<service_name, std::string>;

    std::map<key, double> means_;
};

} // namespace savorywheel

#endif
