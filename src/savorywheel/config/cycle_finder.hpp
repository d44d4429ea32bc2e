#ifndef SAVORYWHEEL_CONFIG_CYCLE_FINDER_HPP
#define SAVORYWHEEL_CONFIG_CYCLE_FINDER_HPP

#include <cstddef>
#include <span>
#include <utility>
#include <vector>

namespace savorywheel {

/**
 * @brief Finds cycles in a directed graph by an iterative depth-first search, so that a long chain
 * of dependencies does not exhaust the stack.
 */
class cycle_finder {
public:
    /** @brief Positions of the nodes that a node points to. */
    using edges = std::vector<std::size_t>;

    /** @brief Positions along a cycle, in order; the first follows the last. */
    using cycle = std::vector<std::size_t>;

    /** @param graph Edges of each node; must outlive the finder. */
    explicit cycle_finder(std::span<const edges> graph);

    /** @return One cycle for each edge that closes one; none if the graph has no cycle. */
    [[nodiscard]] std::vector<cycle> find();

private:
    enum class visit_state : unsigned char { unvisited, on_path, finished };

    void search_from(std::size_t start);
    void visit(std::size_t target);

    std::span<const edges> graph_;
    std::vector<visit_state> states_;
    std::vector<std::pair<std::size_t, std::size_t>> path_;
    std::vector<cycle> cycles_;
};

} // namespace savorywheel

#endif
