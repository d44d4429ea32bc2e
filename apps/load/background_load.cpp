#include <load/background_load.hpp>

#include <utility>

namespace savorywheel::load {

background_load::background_load(load_plan plan, http_client& client)
    : random_{plan.seed}, generator_{std::move(plan), {time_, random_, client}},
      samples_{std::async(std::launch::async, [this] { return generator_.run(); })}
{
}

path_summary background_load::finish()
{
    return summarize(samples_.get(), call_path::mesh);
}

} // namespace savorywheel::load
