#include <savorywheel/metrics/metric_registry.hpp>
#include <savorywheel/metrics/process_metric_source.hpp>

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <filesystem>
#include <fstream>
#include <map>
#include <string>

namespace savorywheel {

namespace {

constexpr std::uint64_t microseconds_per_second = 1'000'000;
constexpr std::uint64_t nanoseconds_per_microsecond = 1000;
constexpr std::uint64_t bytes_per_kilobyte = 1024;

std::uint64_t microseconds(const timeval& time)
{
    return static_cast<std::uint64_t>(time.tv_sec) * microseconds_per_second +
           static_cast<std::uint64_t>(time.tv_usec);
}

std::uint64_t process_cpu_us()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    return microseconds(usage.ru_utime) + microseconds(usage.ru_stime);
}

std::uint64_t resident_kb()
{
    std::uint64_t total_pages{};
    std::uint64_t resident_pages{};
    std::ifstream{"/proc/self/statm"} >> total_pages >> resident_pages;
    return resident_pages * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE)) / bytes_per_kilobyte;
}

std::string metric_name(std::string text)
{
    std::ranges::replace_if(
        text, [](unsigned char letter) { return std::isalnum(letter) == 0; }, '_');
    return text;
}

/** Sums the CPU time of threads by thread name, as the scheduler accounts it. */
std::map<std::string, std::uint64_t> thread_cpu_us(std::uint64_t& thread_count)
{
    std::map<std::string, std::uint64_t> by_name;
    std::error_code error;
    for (const auto& item : std::filesystem::directory_iterator{"/proc/self/task", error}) {
        std::string name;
        std::uint64_t nanoseconds{};
        std::getline(std::ifstream{item.path() / "comm"}, name);
        std::ifstream{item.path() / "schedstat"} >> nanoseconds;
        by_name[metric_name(name)] += nanoseconds / nanoseconds_per_microsecond;
        ++thread_count;
    }
    return by_name;
}

} // namespace

void process_metric_source::collect(metric_registry& registry)
{
    std::uint64_t thread_count{};
    for (const auto& [name, time] : thread_cpu_us(thread_count)) {
        registry.count("thread_cpu_us_" + name) = time;
    }
    registry.count("process_cpu_us") = process_cpu_us();
    registry.gauge({"process_resident_kb"}) = resident_kb();
    registry.gauge({"process_threads"}) = thread_count;
}

} // namespace savorywheel
