#include <fleet/records/backlog_codec.hpp>

#include <nlohmann/json.hpp>

#include <cmath>
#include <stdexcept>

namespace fleet {

namespace {

using json = nlohmann::json;

constexpr std::size_t maxRecordBytes = 32'768;

// Thousandths are more exact than any estimate; shorter numbers keep the record small.
double rounded(double amount)
{
    return std::round(amount * 1000) / 1000;
}

json encodeAmount(const load_amount& amount)
{
    return { rounded(amount.cores), rounded(amount.accelerators) };
}

double decodeNumber(const json& source)
{
    const double number = source.get<double>();
    if (!std::isfinite(number) || number < 0)
        throw std::invalid_argument("an amount of a backlog is out of range");
    return number;
}

load_amount decodeAmount(const json& source)
{
    return { decodeNumber(source.at(0)), decodeNumber(source.at(1)) };
}

json encodeService(const service_backlog& service)
{
    json waiting = json::array();
    for (const auto& [priority, work] : service.waiting) {
        waiting.push_back({ { "priority", priority }, { "work", encodeAmount(work.total) },
            { "largest", work.largestOrganisation }, { "largest_work", encodeAmount(work.ofLargest) } });
    }
    return { { "capacity", encodeAmount(service.capacity) }, { "freed_per_s", encodeAmount(service.freedPerSecond) },
        { "waiting", std::move(waiting) } };
}

service_backlog decodeService(const json& source)
{
    service_backlog service;
    service.capacity = decodeAmount(source.at("capacity"));
    service.freedPerSecond = decodeAmount(source.at("freed_per_s"));
    for (const auto& entry : source.at("waiting")) {
        const auto priority = entry.at("priority").get<unsigned>();
        if (priority > maxBacklogPriority)
            throw std::invalid_argument("a priority of a backlog is out of range");
        service.waiting[priority] = { decodeAmount(entry.at("work")), entry.at("largest").get<std::string>(),
            decodeAmount(entry.at("largest_work")) };
    }
    return service;
}

backlog_record decodeRecord(const json& source)
{
    backlog_record record;
    record.epoch = source.at("epoch").get<std::uint64_t>();
    record.version = source.at("version").get<std::uint64_t>();
    record.madeUnixMs = source.at("made_unix_ms").get<std::int64_t>();
    const auto& services = source.at("services");
    if (!services.is_object() || services.size() > maxBacklogServices)
        throw std::invalid_argument("a backlog has too many services");
    for (const auto& [name, service] : services.items())
        record.content.services[name] = decodeService(service);
    return record;
}

} // namespace

std::string encodeBacklog(const backlog_record& record)
{
    json services = json::object();
    for (const auto& [name, service] : record.content.services)
        services[name] = encodeService(service);
    const json target { { "epoch", record.epoch }, { "version", record.version }, { "made_unix_ms", record.madeUnixMs },
        { "services", std::move(services) } };
    return target.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<backlog_record> decodeBacklog(std::string_view text)
{
    if (text.size() > maxRecordBytes)
        return std::nullopt;
    try {
        return decodeRecord(json::parse(text));
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace fleet
