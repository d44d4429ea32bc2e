#ifndef SAVORYWHEEL_CONFIG_CYCLE_FINDER_HPP
#define SAVORYWHEEL_CONFIG_CYCLE_FINDER_HPP

#include <cstddef>
#include <span>
#include <utility>
#include <vector>

namespace savorywheel {

/**
 * @brief Finds cycles in a directed graph by depth-first search.
 *
 * The search is iterative, so that a long chain of dependencies cannot overflow the call stack.
 */
class cycle_finder {
public:
    /** @brief Indices of the successors of a node. */
    using edges = std::vector<std::size_t>;

    /** @brief Node indices along a cycle; the last node has an edge to the first. */
    using cycle = std::vector<std::size_t>;

    /** @param graph Edges by node index; must outlive this object. */
    explicit cycle_finder(std::span<const edges> graph);

    /** @return One cycle per back edge; empty if the graph is acyclic. */
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
