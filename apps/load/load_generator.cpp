#include <load/load_generator.hpp>
#include <load/target_selector.hpp>

#include <thread>
#include <utility>

namespace savorywheel::load {

namespace {

constexpr std::chrono::milliseconds lead_time{200};

} // namespace

load_generator::load_generator(load_plan plan, environment env)
    : plan_{std::move(plan)}, environment_{env}
{
}

std::vector<call_sample> load_generator::run()
{
    next_ = 0;
    const arrival_schedule schedule{environment_.time.now() + lead_time, plan_.per_second};
    const auto total = schedule.count_within(plan_.period);
    std::vector<std::vector<call_sample>> worker_samples(plan_.connections);
    std::vector<std::thread> threads;
    threads.reserve(worker_samples.size());
    for (auto& samples_of_worker : worker_samples) {
        threads.emplace_back([this, &schedule, total, &samples_of_worker] {
            run_worker(schedule, total, samples_of_worker);
        });
    }
    std::vector<call_sample> samples;
    for (std::size_t i = 0; i < threads.size(); ++i) {
        threads[i].join();
        samples.insert(samples.end(), worker_samples[i].begin(), worker_samples[i].end());
    }
    return samples;
}

void load_generator::run_worker(const arrival_schedule& schedule, std::uint64_t total,
                                std::vector<call_sample>& samples)
{
    while (true) {
        const auto index = next_++;
        if (index >= total || stopping_) {
            return;
        }
        const auto due = schedule.due(index);
        std::this_thread::sleep_until(due);
        samples.push_back(call(index, due));
    }
}

call_sample load_generator::call(std::uint64_t index, monotonic_time due)
{
    const bool direct = plan_.alternate_direct && index % 2 == 1;
    const auto round_robin_index = plan_.alternate_direct ? index / 2 : index;
    const auto& target = select_target(plan_.targets, environment_.random);
    const auto& servers = direct ? target.backends : plan_.nodes;
    const http_request request{target.method,
                               target.path,
                               {{"Host", target.service.str()}},
                               std::string(target.body_bytes, 'x')};
    const auto response = environment_.client.send(servers[round_robin_index % servers.size()],
                                                   request, plan_.deadline);
    return {direct ? call_path::direct : call_path::mesh, classify_response(response),
            environment_.time.now() - due};
}

} // namespace savorywheel::load
