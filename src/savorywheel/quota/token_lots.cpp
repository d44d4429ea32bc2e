#include <savorywheel/quota/token_lots.hpp>

#include <algorithm>

namespace savorywheel {

void token_lots::add(std::uint32_t tokens, duration expires) noexcept
{
    if (tokens == 0) {
        return;
    }
    if (size_ == max_lots) {
        // Tokens that expire earlier than they must are lost, not created.
        lots_[size_ - 2].tokens += lots_[size_ - 1].tokens;
        --size_;
    }
    auto position = size_;
    for (; position > 0 && lots_[position - 1].expires > expires; --position) {
        lots_[position] = lots_[position - 1];
    }
    lots_[position] = {expires, tokens};
    ++size_;
}

std::optional<duration> token_lots::take(duration now) noexcept
{
    expire(now);
    if (size_ == 0) {
        return std::nullopt;
    }
    auto& first = lots_.front();
    const auto expires = first.expires;
    if (--first.tokens == 0) {
        erase(1);
    }
    return expires;
}

std::uint32_t token_lots::count(duration now) noexcept
{
    expire(now);
    std::uint32_t sum = 0;
    for (std::size_t i = 0; i < size_; ++i) {
        sum += lots_[i].tokens;
    }
    return sum;
}

void token_lots::expire(duration now) noexcept
{
    std::size_t expired = 0;
    while (expired < size_ && lots_[expired].expires <= now) {
        ++expired;
    }
    erase(expired);
}

/** Removes the first lots. */
void token_lots::erase(std::size_t number) noexcept
{
    if (number > 0) {
        std::copy(lots_.begin() + static_cast<std::ptrdiff_t>(number),
                  lots_.begin() + static_cast<std::ptrdiff_t>(size_), lots_.begin());
        size_ -= number;
    }
}

} // namespace savorywheel
