#include <savorywheel/config/tenant_rules.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace savorywheel {

namespace {

constexpr unsigned char first_visible = 0x20;
constexpr unsigned char delete_character = 0x7f;
/** Longer names are cut in messages. */
constexpr std::size_t max_quoted_bytes = 64;
/** More faults make a log line unreadable; a fault of the writing program concerns every tenant. */
constexpr std::size_t max_described = 5;

bool is_blank(char c) noexcept
{
    return c == ' ' || c == '\t';
}

/** True for a text that an HTTP request can state as the value of a header field. */
bool is_header_value(std::string_view text) noexcept
{
    const auto allowed = [](char c) {
        const auto byte = static_cast<unsigned char>(c);
        return c == '\t' || (byte >= first_visible && byte != delete_character);
    };
    return !text.empty() && !is_blank(text.front()) && !is_blank(text.back()) &&
           std::ranges::all_of(text, allowed);
}

std::string quoted(const tenant_name& name)
{
    return fmt::format("tenant \"{}\"", name.str().substr(0, max_quoted_bytes));
}

/** A digest and where it was found. */
using key_position = std::tuple<key_digest, std::size_t, std::size_t>;

} // namespace

void tenant_rules::add_key(tenant_spec& tenant, std::optional<std::string_view> key)
{
    if (key && is_header_value(*key)) {
        tenant.keys.push_back(digest_of_key(*key));
    }
    else {
        const auto* found = !key           ? "a value that is not a text"
                            : key->empty() ? "an empty key"
                                           : "a key that no request can state";
        faults_.push_back({tenant_, tenant_part::key, key_, found, std::string{api_key_rule}});
    }
    ++key_;
}

void tenant_rules::add_digest(tenant_spec& tenant, const key_digest& digest)
{
    tenant.keys.push_back(digest);
    ++key_;
}

void tenant_rules::set_priority(tenant_spec& tenant, std::optional<std::uint32_t> priority)
{
    if (!priority) {
        faults_.push_back({tenant_, tenant_part::priority, 0, "no whole number from 0",
                           "a whole number, 0 for the highest priority"});
    }
    tenant.priority = priority.value_or(0);
}

void tenant_rules::end_tenant() noexcept
{
    ++tenant_;
    key_ = 0;
}

void tenant_rules::check(std::span<const tenant_spec> tenants)
{
    check_names(tenants);
    check_keys(tenants);
    for (std::size_t i = 0; i < tenants.size(); ++i) {
        check_number(i, tenant_part::rate, tenants[i].rate_per_s);
        check_number(i, tenant_part::burst, tenants[i].burst);
    }
}

std::string tenant_rules::describe(std::string_view list_of_keys, std::string_view rate) const
{
    std::string text;
    for (const auto& fault : std::span{faults_}.first(std::min(faults_.size(), max_described))) {
        text += fmt::format("{}{}: found {}; expected {}", text.empty() ? "" : ", ",
                            place_of(fault, list_of_keys, rate), fault.found, fault.expected);
    }
    return faults_.size() <= max_described
               ? text
               : fmt::format("{}, and {} more", text, faults_.size() - max_described);
}

void tenant_rules::check_names(std::span<const tenant_spec> tenants)
{
    std::unordered_map<std::string_view, std::size_t> owners;
    for (std::size_t i = 0; i < tenants.size(); ++i) {
        const auto& name = tenants[i].name.str();
        if (!is_header_value(name)) {
            faults_.push_back({i, tenant_part::name, 0, "a name that no header can state",
                               "a name of the characters of a header value"});
        }
        if (!owners.emplace(name, i).second) {
            faults_.push_back(
                {i, tenant_part::name, 0, quoted(tenants[i].name) + " twice", "each tenant once"});
        }
    }
}

void tenant_rules::check_keys(std::span<const tenant_spec> tenants)
{
    std::vector<key_position> keys;
    for (std::size_t i = 0; i < tenants.size(); ++i) {
        for (std::size_t k = 0; k < tenants[i].keys.size(); ++k) {
            keys.emplace_back(tenants[i].keys[k], i, k);
        }
    }
    std::ranges::sort(keys);
    for (std::size_t i = 1; i < keys.size(); ++i) {
        const auto& [digest, tenant, key] = keys[i];
        const auto& [earlier_digest, owner, owner_key] = keys[i - 1];
        if (digest == earlier_digest && tenant != owner) {
            faults_.push_back({tenant, tenant_part::key, key,
                               "a key of " + quoted(tenants[owner].name),
                               "a key that no other tenant holds"});
        }
    }
}

void tenant_rules::check_number(std::size_t tenant, tenant_part part, double number)
{
    // A comparison with NaN, which stands for a value of another type, is false.
    if (!(number >= 0.0 && number <= max_tenant_rate)) {
        faults_.push_back({tenant, part, 0, fmt::format("{}", number),
                           fmt::format("a number from 0 to {}", max_tenant_rate)});
    }
}

} // namespace savorywheel
