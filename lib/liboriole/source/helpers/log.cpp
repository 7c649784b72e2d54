#include <oriole/helpers/log.hpp>

#include <glog/logging.h>

#include <atomic>
#include <chrono>

namespace oriole {

namespace {

std::string programName; // NOLINT(readability-identifier-naming)
std::string processName; // NOLINT(readability-identifier-naming)
std::atomic<log_level> lowestLevel { log_level::Info };

std::string_view levelName(log_level level)
{
    switch (level) {
    case log_level::Debug:
        return "debug";
    case log_level::Info:
        return "info";
    case log_level::Warning:
        return "warning";
    case log_level::Error:
        return "error";
    }
    return "info";
}

std::int64_t unixMilliseconds()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

} // namespace

void startLogging(std::string_view program, std::string_view name, log_level lowest)
{
    programName = program;
    processName = name;
    lowestLevel = lowest;
    FLAGS_logtostderr = true;
    FLAGS_log_prefix = false;
    google::InitGoogleLogging(programName.c_str());
}

void logEvent(log_level level, std::string_view event, const nlohmann::json& fields)
{
    if (level < lowestLevel.load())
        return;

    nlohmann::json line = fields;
    line["time_ms"] = unixMilliseconds();
    line["level"] = levelName(level);
    line["event"] = event;
    line["program"] = programName;
    line["process"] = processName;
    LOG(INFO) << line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace oriole
