#ifndef SAVORYWHEEL_DISTRIBUTION_DATAGRAM_PARTS_HPP
#define SAVORYWHEEL_DISTRIBUTION_DATAGRAM_PARTS_HPP

#include <savorywheel/distribution/document_datagram.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace savorywheel {

/** @brief Parts into which an answer may be divided; a longer one is sent on the stream only. */
inline constexpr std::size_t max_datagram_parts = 8;

/** @brief Joins the parts of answers that arrive in datagrams, in any order and more than once. */
class datagram_parts {
public:
    /**
     * @brief Adds a part.
     * @return The whole answer once all of its parts have arrived.
     */
    [[nodiscard]] std::optional<std::vector<std::byte>> add(const document_datagram& message);

    /** @return Number of answers of which parts are missing. */
    [[nodiscard]] std::size_t incomplete() const noexcept { return answers_.size(); }

private:
    struct partial_answer {
        network_endpoint sender;
        std::uint16_t parts{};
        std::map<std::uint16_t, std::vector<std::byte>> received;
    };

    /** By request, whose numbers ascend. */
    std::map<std::uint64_t, partial_answer> answers_;
};

} // namespace savorywheel

#endif
