#include <savorywheel/node/node_lease.hpp>

namespace savorywheel {

namespace {

constexpr std::chrono::milliseconds lease_lifetime{2000};

} // namespace

lease_record make_node_lease(const node_settings& settings)
{
    lease_record record;
    record.holder = settings.name;
    record.peer = settings.peer;
    record.lifetime = lease_lifetime;
    return record;
}

} // namespace savorywheel
