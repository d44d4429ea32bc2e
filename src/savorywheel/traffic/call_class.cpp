#include <savorywheel/traffic/call_class.hpp>

namespace savorywheel {

std::string_view label_of(call_class placement) noexcept
{
    switch (placement) {
    case call_class::express:
        return "express";
    case call_class::on_time:
        return "on_time";
    case call_class::late:
        return "late";
    }
    return "on_time";
}

} // namespace savorywheel
