#ifndef SAVORYWHEEL_EXPLAIN_REQUEST_TRACE_HPP
#define SAVORYWHEEL_EXPLAIN_REQUEST_TRACE_HPP

#include <savorywheel/explain/log_line.hpp>

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace savorywheel {

/**
 * @brief What the nodes wrote about one request, in order, and what follows from it.
 *
 * Calls that a backend server made while it ran the request belong to it; their ids go on after a
 * dot.
 */
class request_trace {
public:
    /** @param id Id of the request. */
    explicit request_trace(std::string id) : id_{std::move(id)} {}

    /** @brief Takes a line if it is about the request. */
    void add(const log_line& line);

    /** @return The lines in the order of their times. */
    [[nodiscard]] std::span<const log_line> lines() const noexcept { return lines_; }

    /** @return True if a line tells how the request ended. */
    [[nodiscard]] bool ended() const noexcept { return find_end(id_) != nullptr; }

    /** @return In one or two sentences, what happened. */
    [[nodiscard]] std::string conclusion() const;

private:
    [[nodiscard]] const log_line* find_end(std::string_view id) const;
    [[nodiscard]] const log_line* find_last(std::string_view id, event_id event) const;
    [[nodiscard]] std::string describe_end(std::string_view id, const log_line& end) const;
    [[nodiscard]] std::string describe_backend(std::string_view id) const;
    [[nodiscard]] std::string describe_gate_refusal(std::string_view id) const;
    [[nodiscard]] std::string describe_failed_nested_call() const;

    std::string id_;
    std::vector<log_line> lines_;
};

} // namespace savorywheel

#endif
