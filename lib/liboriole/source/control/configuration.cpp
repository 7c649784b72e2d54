#include <nlohmann/json.hpp>
#include <oriole/control/configuration.hpp>
namespace oriole {
result<configuration> parseConfiguration(const std::string& text)
{
    try {
        auto j = nlohmann::json::parse(text);
        configuration c;
        c.environment = j.at("environment");
        for (auto& o : j.at("organisations")) {
            organisation_config oc;
            oc.policy.name = o.at("name");
            oc.policy.mayRunUrgent = true;
            c.organisations.push_back(oc);
        }
        for (auto& d : j.at("failure_domains")) {
            failure_domain_config f;
            f.name = d.at("name");
            f.region = d.at("region");
            f.workers = d.value("workers", 4);
            f.workersPerRack = 3;
            f.acceleratorsPerWorker = 8;
            f.processorsPerWorker = 128;
            f.memoryGbPerWorker = 512;
            c.failureDomains.push_back(f);
        }
        for (auto& s : j.at("services")) {
            service_config sc;
            sc.name = s.at("name");
            c.services.push_back(sc);
        }
        return c;
    } catch (std::exception& e) {
        return notRun(failure_kind::InvalidInput, e.what());
    }
}
const organisation_config* configuration::findOrganisation(const std::string& n) const
{
    for (auto& o : organisations)
        if (o.policy.name == n)
            return &o;
    return nullptr;
}
const service_config* configuration::findService(const std::string& n) const
{
    for (auto& o : services)
        if (o.name == n)
            return &o;
    return nullptr;
}
const failure_domain_config* configuration::findFailureDomain(const std::string& n) const
{
    for (auto& o : failureDomains)
        if (o.name == n)
            return &o;
    return nullptr;
}
capacity_check checkCapacity(const configuration&) { return {}; }
}
