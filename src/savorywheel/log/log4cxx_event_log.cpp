#include <savorywheel/log/event_catalogue.hpp>
#include <savorywheel/log/log4cxx_event_log.hpp>

#include <fmt/format.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <memory>
#include <utility>

namespace savorywheel {

namespace {

void configure_library()
{
    static const bool configured = [] {
        const auto layout =
            std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("%d{ISO8601} %p %m%n"));
        const auto appender = std::make_shared<log4cxx::ConsoleAppender>(
            layout, log4cxx::ConsoleAppender::getSystemErr());
        log4cxx::BasicConfigurator::configure(appender);
        return true;
    }();
    static_cast<void>(configured);
}

log4cxx::LevelPtr level_of(event_severity severity)
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

log4cxx_event_log::log4cxx_event_log(std::string process, event_severity least)
    : process_{std::move(process)}, least_{least}
{
    configure_library();
}

void log4cxx_event_log::write(event_id id, std::string_view detail)
{
    const auto& entry = describe(id);
    if (entry.severity < least_) {
        return;
    }
    const auto line =
        fmt::format("[{}] SW{} {} {}", process_, static_cast<int>(id), entry.meaning, detail);
    const auto logger = log4cxx::Logger::getRootLogger();
    logger->log(level_of(entry.severity), line);
}

} // namespace savorywheel
