#ifndef SAVORYWHEEL_STORE_STORE_REPLY_HPP
#define SAVORYWHEEL_STORE_STORE_REPLY_HPP

#include <savorywheel/store/store_revision.hpp>

#include <string>

namespace savorywheel {

/** @brief Successful response of a store that states its era. */
struct store_reply {
    std::string body;
    /** @brief Era in which the store sent the response. */
    std::uint64_t era{};

    /** @return Composed revision of a revision in the body. */
    [[nodiscard]] std::uint64_t revision(std::uint64_t raw) const noexcept
    {
        return store_revision{era, raw}.composed();
    }
};

} // namespace savorywheel

#endif
