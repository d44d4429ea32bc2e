#include <savorywheel/config/tenant_fault.hpp>

#include <fmt/format.h>

namespace savorywheel {

namespace {

std::string part_of(const tenant_fault& fault, std::string_view list_of_keys, std::string_view rate)
{
    switch (fault.part) {
    case tenant_part::name:
        return "name";
    case tenant_part::key:
        return fmt::format("{}/{}", list_of_keys, fault.key);
    case tenant_part::priority:
        return "priority";
    case tenant_part::rate:
        return std::string{rate};
    case tenant_part::burst:
        break;
    }
    return "burst";
}

} // namespace

std::string place_of(const tenant_fault& fault, std::string_view list_of_keys,
                     std::string_view rate)
{
    return fmt::format("tenants/{}/{}", fault.tenant, part_of(fault, list_of_keys, rate));
}

} // namespace savorywheel
