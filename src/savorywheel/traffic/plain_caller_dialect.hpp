#ifndef SAVORYWHEEL_TRAFFIC_PLAIN_CALLER_DIALECT_HPP
#define SAVORYWHEEL_TRAFFIC_PLAIN_CALLER_DIALECT_HPP

#include <savorywheel/traffic/caller_dialect.hpp>

namespace savorywheel {

/** @brief Built-in header fields between callers and the mesh. */
class plain_caller_dialect final : public caller_dialect {
public:
    [[nodiscard]] caller_terms read(const http_request& request) const override;
    void forward(http_request& request) const override;
    [[nodiscard]] http_response reject(const rejection& why) const override;
};

} // namespace savorywheel

#endif
