#include <savorywheel/config/cycle_finder.hpp>

#include <algorithm>

namespace savorywheel {

cycle_finder::cycle_finder(std::span<const edges> graph)
    : graph_{graph}, states_(graph.size(), visit_state::fresh)
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
    follow(start);
    while (!path_.empty()) {
        auto& [position, edge] = path_.back();
        if (edge < graph_[position].size()) {
            follow(graph_[position][edge++]);
            continue;
        }
        states_[position] = visit_state::closed;
        path_.pop_back();
    }
}

void cycle_finder::follow(std::size_t target)
{
    if (states_[target] == visit_state::fresh) {
        states_[target] = visit_state::open;
        path_.emplace_back(target, 0);
    }
    else if (states_[target] == visit_state::open) {
        auto step = std::ranges::find(path_, target, &std::pair<std::size_t, std::size_t>::first);
        cycle found;
        for (; step != path_.end(); ++step) {
            found.push_back(step->first);
        }
        cycles_.push_back(std::move(found));
    }
}

} // namespace savorywheel
