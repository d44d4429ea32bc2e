#include <savorywheel/traffic/call_refusal.hpp>

namespace savorywheel {

std::string_view label_of(call_refusal refusal) noexcept
{
    switch (refusal) {
    case call_refusal::none:
        return "none";
    case call_refusal::absent:
        return "absent";
    case call_refusal::leaving:
        return "leaving";
    case call_refusal::wrong_version:
        return "wrong_version";
    case call_refusal::overload:
        return "overload";
    case call_refusal::expired:
        return "expired";
    case call_refusal::crashing:
        return "crashing";
    case call_refusal::silent:
        return "silent";
    }
    return "none";
}

std::string_view to_string(call_refusal refusal) noexcept
{
    switch (refusal) {
    case call_refusal::none:
        return "not refused";
    case call_refusal::absent:
        return "no backend server accepts requests at this node";
    case call_refusal::leaving:
        return "the backend server is leaving";
    case call_refusal::wrong_version:
        return "the backend server runs another service or version";
    case call_refusal::overload:
        return "the backend server is overloaded";
    case call_refusal::expired:
        return "the deadline passed before a slot was free";
    case call_refusal::crashing:
        return "this request has crashed backend servers";
    case call_refusal::silent:
        return "the backend server answers none of the calls that it holds";
    }
    return "not refused";
}

} // namespace savorywheel
