#include <savorywheel/admin/history_reporter.hpp>
#include <savorywheel/config/rfc3339_time.hpp>

namespace savorywheel {

namespace {

history_entry make_entry(const commit& item)
{
    history_entry entry;
    entry.version = item.version;
    entry.base = item.base;
    entry.kind = to_string(item.kind);
    entry.author = item.author;
    entry.written_at = format_calendar_time(item.written_at);
    entry.operation = item.operation;
    entry.reason = item.reason;
    for (const auto& service : item.upserts) {
        entry.changed.push_back(service.spec.name);
    }
    entry.removed = item.removals;
    return entry;
}

} // namespace

history_report make_history_report(const std::deque<commit>& commits)
{
    history_report report;
    report.entries.reserve(commits.size());
    for (const auto& item : commits) {
        report.entries.push_back(make_entry(item));
    }
    return report;
}

} // namespace savorywheel
