#include <savorywheel/node/node_record.hpp>

namespace savorywheel {

member_record make_node_record(const node_settings& settings, const clock& time)
{
    member_record self;
    self.id = settings.name;
    self.domain = settings.domain;
    self.region = settings.region;
    self.peer = settings.peer;
    const auto since_epoch = time.calendar_now().time_since_epoch();
    self.incarnation = static_cast<std::uint64_t>(since_epoch.count());
    return self;
}

} // namespace savorywheel
