#include <oriole/runtime/attempt_json.hpp>

namespace oriole {

namespace {

nlohmann::json allocationToJson(const allocation& source)
{
    return { { "worker", source.worker }, { "rpc", source.rpc }, { "accelerators", source.accelerators },
        { "processors", source.processors }, { "memory_gb", source.memoryGb } };
}

allocation allocationFromJson(const nlohmann::json& source)
{
    allocation target;
    source.at("worker").get_to(target.worker);
    source.at("rpc").get_to(target.rpc);
    source.at("accelerators").get_to(target.accelerators);
    source.at("processors").get_to(target.processors);
    source.at("memory_gb").get_to(target.memoryGb);
    return target;
}

} // namespace

nlohmann::json attemptToJson(const attempt& source)
{
    auto allocations = nlohmann::json::array();
    for (const auto& share : source.allocations)
        allocations.push_back(allocationToJson(share));
    return { { "organisation", source.id.organisation }, { "job", source.id.job }, { "number", source.id.number },
        { "epoch", source.epoch }, { "guaranteed", source.guaranteed }, { "urgent", source.urgent },
        { "repeatable", source.repeatable }, { "allocations", std::move(allocations) },
        { "run_ms", source.declaredRun.count() }, { "payload", source.payload } };
}

std::optional<attempt> attemptFromJson(const nlohmann::json& source)
{
    try {
        attempt target;
        source.at("organisation").get_to(target.id.organisation);
        source.at("job").get_to(target.id.job);
        source.at("number").get_to(target.id.number);
        source.at("epoch").get_to(target.epoch);
        source.at("guaranteed").get_to(target.guaranteed);
        source.at("urgent").get_to(target.urgent);
        source.at("repeatable").get_to(target.repeatable);
        for (const auto& share : source.at("allocations"))
            target.allocations.push_back(allocationFromJson(share));
        target.declaredRun = std::chrono::milliseconds(source.at("run_ms").get<std::int64_t>());
        source.at("payload").get_to(target.payload);
        return target;
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

} // namespace oriole
