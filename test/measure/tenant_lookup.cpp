/**
 * Prints the time of a look-up of an API key and the memory of the tenants, at 10,000 tenants by
 * default. Arguments: number of tenants, keys per tenant.
 */
#include <savorywheel/routing/tenant_table.hpp>

#include <fmt/format.h>
#include <malloc.h>

#include <chrono>
#include <cstdlib>
#include <string>
#include <utility>
#include <vector>

namespace savorywheel::test {

namespace {

constexpr std::size_t lookups = 2'000'000;

std::size_t allocated_bytes()
{
    const auto state = mallinfo2();
    return state.uordblks + state.hblkhd;
}

std::string key_of(std::size_t tenant, std::size_t key)
{
    return fmt::format("sk_live_{:08}_{:04}_0123456789abcdef", tenant, key);
}

std::vector<tenant_spec> make_tenants(std::size_t count, std::size_t keys)
{
    std::vector<tenant_spec> tenants;
    tenants.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        tenant_spec tenant{tenant_name{fmt::format("tenant-{:06}", i)}, {}};
        tenant.keys.reserve(keys);
        for (std::size_t k = 0; k < keys; ++k) {
            tenant.keys.push_back(digest_of_key(key_of(i, k)));
        }
        tenants.push_back(std::move(tenant));
    }
    return tenants;
}

double nanoseconds_per_lookup(const tenant_table& table, const std::vector<std::string>& keys,
                              std::size_t expected)
{
    std::size_t found = 0;
    const auto started = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < lookups; ++i) {
        found += table.find(keys[i * 7919 % keys.size()]) != nullptr ? 1 : 0;
    }
    const std::chrono::duration<double, std::nano> elapsed =
        std::chrono::steady_clock::now() - started;
    if (found != expected) {
        fmt::print("wrong results: {} found\n", found);
        std::exit(1);
    }
    return elapsed.count() / static_cast<double>(lookups);
}

void measure(std::size_t count, std::size_t keys_of_each)
{
    std::vector<std::string> known;
    std::vector<std::string> unknown;
    for (std::size_t i = 0; i < count; ++i) {
        known.push_back(key_of(i, i % keys_of_each));
        unknown.push_back(key_of(i, keys_of_each));
    }
    const auto before = allocated_bytes();
    const auto tenants = make_tenants(count, keys_of_each);
    const auto with_specs = allocated_bytes();
    const tenant_table table{tenants};
    const auto with_table = allocated_bytes();
    constexpr double mebibyte = 1024.0 * 1024.0;
    fmt::print("{} tenants with {} keys: specs {:.2f} MiB, table {:.2f} MiB\n", count, keys_of_each,
               static_cast<double>(with_specs - before) / mebibyte,
               static_cast<double>(with_table - with_specs) / mebibyte);
    fmt::print("known key {:.0f} ns, unknown key {:.0f} ns\n",
               nanoseconds_per_lookup(table, known, lookups),
               nanoseconds_per_lookup(table, unknown, 0));
}

} // namespace

} // namespace savorywheel::test

int main(int argc, char** argv)
{
    constexpr unsigned long default_tenants = 10'000;
    const auto count = argc > 1 ? std::strtoul(argv[1], nullptr, 10) : default_tenants;
    const auto keys = argc > 2 ? std::strtoul(argv[2], nullptr, 10) : 1;
    if (count == 0 || keys == 0) {
        fmt::print("usage: measure_tenants [tenants [keys per tenant]]\n");
        return 1;
    }
    savorywheel::test::measure(count, keys);
    return 0;
}
