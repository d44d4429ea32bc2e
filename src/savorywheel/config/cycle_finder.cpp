#include <savorywheel/config/cycle_finder.hpp>

#include <algorithm>

namespace savorywheel {

cycle_finder::cycle_finder(std::span<const edges> graph)
    : graph_{graph}, states_(graph.size(), visit_state::unvisited)
{
}

std::vector<cycle_finder::cycle> cycle_finder::find()
{
    for (std::size_t i = 0; i < graph_.size(); ++i) {
        search_from(i);
    }
    return std::move(cycles_);
}

void cycle_finder::search_from(std::size_t start)
{
    visit(start);
    while (!path_.empty()) {
        auto& [position, edge] = path_.back();
        if (edge < graph_[position].size()) {
            visit(graph_[position][edge++]);
            continue;
        }
        states_[position] = visit_state::finished;
        path_.pop_back();
    }
}

void cycle_finder::visit(std::size_t target)
{
    if (states_[target] == visit_state::unvisited) {
        states_[target] = visit_state::on_path;
        path_.emplace_back(target, 0);
    }
    else if (states_[target] == visit_state::on_path) {
        auto entry = std::ranges::find(path_, target, &std::pair<std::size_t, std::size_t>::first);
        cycle found;
        for (; entry != path_.end(); ++entry) {
            found.push_back(entry->first);
        }
        cycles_.push_back(std::move(found));
    }
}

} // namespace savorywheel
