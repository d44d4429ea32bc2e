#ifndef SAVORYWHEEL_EXPLAIN_REQUEST_TRACE_HPP
#define SAVORYWHEEL_EXPLAIN_REQUEST_TRACE_HPP

#include <savorywheel/explain/log_line.hpp>

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace savorywheel {

/**
 * @brief Collects the log lines of one request from all nodes and explains its outcome.
 *
 * Includes nested calls that a backend server made while it ran the request; their ids extend the
 * id of the request after a dot.
 */
class request_trace {
public:
    explicit request_trace(std::string id) : id_{std::move(id)} {}

    /** @brief Adds a line if it belongs to the request or to a nested call; ignores others. */
    void add(const log_line& line);

    /** @return The lines in chronological order. */
    [[nodiscard]] std::span<const log_line> lines() const noexcept { return lines_; }

    /** @return True if a line reports the outcome of the request. */
    [[nodiscard]] bool ended() const noexcept { return find_end(id_) != nullptr; }

    /** @return One or more sentences on the outcome of the request and its cause. */
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
