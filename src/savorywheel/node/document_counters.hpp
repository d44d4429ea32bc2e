#ifndef SAVORYWHEEL_NODE_DOCUMENT_COUNTERS_HPP
#define SAVORYWHEEL_NODE_DOCUMENT_COUNTERS_HPP

#include <atomic>
#include <cstdint>

namespace savorywheel {

/** @brief Counters of the documents that a node sent; thread-safe. */
struct document_counters {
    std::atomic<std::uint64_t> whole_answers;
    std::atomic<std::uint64_t> whole_bytes;
    std::atomic<std::uint64_t> delta_answers;
    std::atomic<std::uint64_t> delta_bytes;
    /** @brief One while this node watches the documents. */
    std::atomic<std::uint64_t> watching;
};

} // namespace savorywheel

#endif
