#ifndef SAVORYWHEEL_HTTP_EVICTABLE_CALLER_HPP
#define SAVORYWHEEL_HTTP_EVICTABLE_CALLER_HPP

namespace savorywheel {

/** @brief Connection of a caller that can be closed for others. */
class evictable_caller {
public:
    evictable_caller() = default;
    evictable_caller(const evictable_caller&) = delete;
    evictable_caller& operator=(const evictable_caller&) = delete;
    evictable_caller(evictable_caller&&) = delete;
    evictable_caller& operator=(evictable_caller&&) = delete;
    virtual ~evictable_caller() = default;

    /** @brief Closes the connection and removes it from its ledger. */
    virtual void evict() = 0;
};

} // namespace savorywheel

#endif
