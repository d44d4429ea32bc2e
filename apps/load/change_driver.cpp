#include <load/change_driver.hpp>
#include <load/mesh_text.hpp>
#include <load/wait_until.hpp>

#include <algorithm>

namespace savorywheel::load {

namespace {

constexpr std::chrono::seconds convergence_patience{30};

double milliseconds_between(calendar_time from, calendar_time until)
{
    return std::max(0.0, std::chrono::duration<double, std::milli>(until - from).count());
}

} // namespace

std::optional<change_result> change_driver::change(change_listener& listeners,
                                                   std::optional<std::size_t> writer)
{
    ++edit_;
    const auto text = make_mesh_text(mesh_.layout(), extra_services_, edit_);
    const auto sent = time_.calendar_now();
    const auto report = mesh_.apply(writer.value_or(edit_ % mesh_.members().size()), text);
    const auto accepted = time_.calendar_now();
    if (!report || report->outcome != "accepted") {
        return std::nullopt;
    }
    std::optional<calendar_time> complete;
    const auto in_force = [&] {
        complete = listeners.complete_at(report->version);
        return complete.has_value();
    };
    if (!wait_until(in_force, convergence_patience)) {
        return std::nullopt;
    }
    return change_result{milliseconds_between(sent, accepted),
                         milliseconds_between(accepted, *complete),
                         milliseconds_between(sent, *complete)};
}

} // namespace savorywheel::load
