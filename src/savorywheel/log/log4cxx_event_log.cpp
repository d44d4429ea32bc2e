#include <savorywheel/log/event_catalogue.hpp>
#include <savorywheel/log/log4cxx_event_log.hpp>

#include <fmt/format.h>
#include <log4cxx/asyncappender.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/mdc.h>

#include <memory>
#include <utility>
#include <vector>

namespace savorywheel {

namespace {

/** Capacity of the output queue; a line takes about 300 bytes. */
constexpr int max_queued_lines = 1000;

/** Configures log4cxx, and flushes queued lines when the process exits. */
class log4cxx_setup {
public:
    log4cxx_setup()
    {
        const auto layout = std::make_shared<log4cxx::JSONLayout>();
        const auto console = std::make_shared<log4cxx::ConsoleAppender>(layout);
        const auto queue = std::make_shared<log4cxx::AsyncAppender>();
        queue->setBufferSize(max_queued_lines);
        queue->setBlocking(false);
        queue->addAppender(console);
        log4cxx::BasicConfigurator::configure(queue);
    }
    log4cxx_setup(const log4cxx_setup&) = delete;
    log4cxx_setup& operator=(const log4cxx_setup&) = delete;
    log4cxx_setup(log4cxx_setup&&) = delete;
    log4cxx_setup& operator=(log4cxx_setup&&) = delete;
    ~log4cxx_setup() { log4cxx::LogManager::shutdown(); }
};

void configure_log4cxx_once()
{
    static const log4cxx_setup setup;
    static_cast<void>(setup);
}

log4cxx::LevelPtr to_log4cxx_level(event_severity severity)
{
    switch (severity) {
    case event_severity::info:
        return log4cxx::Level::getInfo();
    case event_severity::warning:
        return log4cxx::Level::getWarn();
    case event_severity::error:
        return log4cxx::Level::getError();
    }
    return log4cxx::Level::getInfo();
}

} // namespace

log4cxx_event_log::log4cxx_event_log(std::string process, event_severity min_severity)
    : process_{std::move(process)}, min_severity_{min_severity}
{
    configure_log4cxx_once();
}

void log4cxx_event_log::write(event_id id, std::string_view detail)
{
    write_decision(id, detail, {});
}

void log4cxx_event_log::write_decision(event_id id, std::string_view detail,
                                       std::span<const log_field> fields)
{
    const auto& entry = describe(id);
    if (entry.severity < min_severity_) {
        return;
    }
    std::vector<std::unique_ptr<log4cxx::MDC>> context;
    context.push_back(std::make_unique<log4cxx::MDC>("process", process_));
    context.push_back(std::make_unique<log4cxx::MDC>("detail", std::string{detail}));
    for (const auto& field : fields) {
        context.push_back(std::make_unique<log4cxx::MDC>(std::string{field.name}, field.value));
    }
    log4cxx::Logger::getRootLogger()->log(
        to_log4cxx_level(entry.severity),
        fmt::format("SW{} {}", static_cast<int>(id), entry.meaning));
}

} // namespace savorywheel
