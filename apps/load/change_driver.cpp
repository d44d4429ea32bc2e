#include <load/change_driver.hpp>
#include <load/config_text.hpp>
#include <load/wait_until.hpp>

#include <algorithm>

namespace savorywheel::load {

namespace {

constexpr std::chrono::seconds convergence_timeout{30};

double milliseconds_between(calendar_time from, calendar_time until)
{
    return std::max(0.0, std::chrono::duration<double, std::milli>(until - from).count());
}

} // namespace

std::optional<change_result> change_driver::change(convergence_observer& observer,
                                                   std::optional<std::size_t> writer)
{
    ++change_count_;
    const auto text = make_config_text(mesh_.layout(), extra_services_, change_count_);
    const auto sent = time_.calendar_now();
    const auto report = mesh_.apply(writer.value_or(change_count_ % mesh_.members().size()), text);
    const auto accepted = time_.calendar_now();
    if (!report || report->outcome != "accepted") {
        return std::nullopt;
    }
    std::optional<calendar_time> converged;
    const auto has_converged = [&] {
        converged = observer.converged_at(report->version);
        return converged.has_value();
    };
    if (!wait_until(has_converged, convergence_timeout)) {
        return std::nullopt;
    }
    return change_result{milliseconds_between(sent, accepted),
                         milliseconds_between(accepted, *converged),
                         milliseconds_between(sent, *converged)};
}

} // namespace savorywheel::load
