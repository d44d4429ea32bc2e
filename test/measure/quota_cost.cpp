// Benchmark of the quotas of tenants, run manually: time and memory of a decision at 10,000
// tenants, allocations per decision, and time of a coordinator's decision. See
// docs/design/quota.md.
#include <savorywheel/core/system_clock_source.hpp>
#include <savorywheel/encoding/codec.hpp>
#include <savorywheel/quota/quota_ledger.hpp>
#include <savorywheel/quota/shared_quota.hpp>

#include <fmt/format.h>
#include <malloc.h>

#include <atomic>
#include <cstdlib>
#include <ctime>
#include <new>

namespace {

std::atomic<std::size_t> allocations{};

} // namespace

void* operator new(std::size_t size)
{
    ++allocations;
    if (void* memory = std::malloc(size)) {
        return memory;
    }
    throw std::bad_alloc{};
}

void operator delete(void* memory) noexcept
{
    std::free(memory);
}

void operator delete(void* memory, std::size_t /*size*/) noexcept
{
    std::free(memory);
}

namespace savorywheel::test {

namespace {

constexpr std::size_t tenant_count = 10'000;

double processor_seconds()
{
    timespec time{};
    ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

double allocated_megabytes()
{
    const auto state = ::mallinfo2();
    return static_cast<double>(state.uordblks + state.hblkhd) / 1e6;
}

/** Sends due requests for tokens at once; requests that wait do not expire. */
struct immediate_scheduler final : scheduler {
    void post(task item) override { item(); }

    [[nodiscard]] subscription after(duration delay, task item) override
    {
        if (delay <= std::chrono::milliseconds{100}) {
            item();
        }
        return {};
    }
};

/** Grants more than is requested, so that decisions need no further request. */
struct generous_coordinator final : quota_request_sink {
    void request(std::uint32_t shard, std::vector<quota_request_item> items,
                 duration sent_at) override
    {
        ++requests;
        std::vector<quota_grant_item> grants;
        grants.reserve(items.size());
        for (const auto& item : items) {
            grants.push_back({item.tenant, quota_grant_state::granted, 100'000, 0});
        }
        quota->on_grant(shard, std::move(grants), sent_at);
    }

    shared_quota* quota{};
    std::size_t requests{};
};

std::vector<tenant_entry> make_tenants()
{
    std::vector<tenant_entry> tenants;
    for (std::size_t i = 0; i < tenant_count; ++i) {
        tenants.push_back({tenant_name{fmt::format("tenant-{}", i)},
                           (i + 1) * 0x9E3779B97F4A7C15ULL, 0, 1, 100.0, 100.0});
    }
    return tenants;
}

template<typename Function>
void measure(const char* name, std::size_t times, Function function)
{
    const auto allocated = allocations.load();
    const auto before = processor_seconds();
    for (std::size_t i = 0; i < times; ++i) {
        function(i);
    }
    const auto spent = processor_seconds() - before;
    fmt::print("{:50} {:8.3f} us, {:.4f} allocations\n", name,
               spent / static_cast<double>(times) * 1e6,
               static_cast<double>(allocations - allocated) / static_cast<double>(times));
}

void measure_decisions(const std::vector<tenant_entry>& tenants)
{
    const auto before = allocated_megabytes();
    system_clock_source time;
    immediate_scheduler loop;
    metric_registry registry;
    quota_metrics metrics{registry, time};
    shared_quota quota{2, {time, loop, metrics}};
    generous_coordinator coordinator;
    coordinator.quota = &quota;
    quota.connect(coordinator);
    for (const auto& tenant : tenants) {
        quota.acquire(tenant, [](const quota_decision& /*decision*/) {});
    }
    fmt::print("stock of {} tenants: {:.2f} MB\n", tenants.size(), allocated_megabytes() - before);
    std::size_t granted = 0;
    measure("decision with a token, any of 10,000 tenants", 1'000'000, [&](std::size_t i) {
        granted += quota.try_acquire(tenants[i * 7919 % tenant_count]) ? 1 : 0;
    });
    measure("decision with a token, and its return", 1'000'000, [&](std::size_t i) {
        const auto& tenant = tenants[i * 7919 % tenant_count];
        if (const auto token = quota.try_acquire(tenant)) {
            quota.give_back(tenant, *token);
        }
    });
    fmt::print("{} granted, {} requests for tokens\n", granted, coordinator.requests);
}

void measure_coordinator(const std::vector<tenant_entry>& tenants)
{
    const auto before = allocated_megabytes();
    const tenant_limits limits{{}, tenants};
    quota_ledger ledger{1, duration::zero(), duration::zero()};
    duration now = std::chrono::hours{1};
    std::uint64_t sequence = 0;
    const auto request = [&](std::size_t node, std::size_t items) {
        quota_request message;
        message.session = node + 1;
        message.sequence = ++sequence;
        for (std::size_t i = 0; i < items; ++i) {
            message.items.push_back(
                {tenants[(node * 131 + sequence + i) % tenant_count].id, 4, 1, 3, 0});
        }
        now += std::chrono::microseconds{500};
        static_cast<void>(ledger.decide(message, now, limits));
    };
    measure("coordinator, request of one tenant, 83 nodes", 100'000,
            [&](std::size_t i) { request(i % 83, 1); });
    measure("coordinator, request of 40 tenants, 83 nodes", 20'000,
            [&](std::size_t i) { request(i % 83, 40); });
    fmt::print("coordinator: {:.2f} MB\n", allocated_megabytes() - before);
}

void measure_messages()
{
    for (const std::size_t tenants : {1U, 5U, 20U, 48U}) {
        quota_request request;
        request.sender_peer = {"10.0.0.17", 7002};
        request.items.resize(tenants);
        quota_grant grant;
        grant.coordinator = {"10.0.0.17", 7002};
        grant.items.resize(tenants);
        fmt::print("{:2} tenants: request {} B, grant {} B\n", tenants, encode(request).size(),
                   encode(grant).size());
    }
}

} // namespace

} // namespace savorywheel::test

int main()
{
    const auto tenants = savorywheel::test::make_tenants();
    savorywheel::test::measure_decisions(tenants);
    savorywheel::test::measure_coordinator(tenants);
    savorywheel::test::measure_messages();
}
