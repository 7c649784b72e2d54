#include <nlohmann/json.hpp>
#include <oriole/control/control_store.hpp>
namespace oriole {
using json = nlohmann::json;
control_store::control_store(store_client& s, std::string e)
    : m_store(s)
    , m_environment(e)
{
}
void control_store::read(handler<control_snapshot> done)
{
    m_store.list("/oriole/" + m_environment + "/control/", [done](result<store_snapshot> r) {
        if (!r) {
            done(r.error());
            return;
        }
        control_snapshot s;
        for (auto& e : r.value().entries) {
            auto j = json::parse(e.value);
            if (e.key.ends_with("/configuration")) {
                configuration_head h;
                h.revision = j["revision"];
                h.document = j["document"];
                h.parsed = parseConfiguration(h.document).value();
                s.configuration = std::make_shared<configuration_head>(h);
            } else if (e.key.ends_with("/failure-domains")) {
                s.failureDomains.revision = j["revision"];
                for (auto& o : j["out"])
                    s.failureDomains.out.insert(o.get<std::string>());
            } else
                s.entries.push_back({ j["name"], j["rpc"], j["region"] });
        }
        done(s);
    });
}
void control_store::apply(std::uint64_t expected, std::string document, std::string, handler<std::shared_ptr<const configuration_head>> done)
{
    auto key = "/oriole/" + m_environment + "/control/configuration";
    m_store.get(key, [=, this](result<store_entry> r) {
        if (!r) {
            done(r.error());
            return;
        }
        auto j = json { { "revision", expected + 1 }, { "document", document } };
        m_store.compareAndSwap({ { key, r.value().modRevision, j.dump(), 0 } }, [=](result<cas_outcome> o) {
            if (!o) {
                done(o.error());
                return;
            }
            done(std::make_shared<const configuration_head>(configuration_head { expected + 1, document, parseConfiguration(document).value() }));
        });
    });
}
void control_store::setFailureDomain(std::string d, bool out, std::string, handler<failure_domain_states> done)
{
    auto key = "/oriole/" + m_environment + "/control/failure-domains";
    m_store.get(key, [=, this](result<store_entry> r) {
        if (!r) {
            done(r.error());
            return;
        }
        failure_domain_states s;
        if (r.value().modRevision) {
            auto j = json::parse(r.value().value);
            s.revision = j["revision"];
            for (auto& o : j["out"])
                s.out.insert(o.get<std::string>());
        }
        s.revision++;
        if (out)
            s.out.insert(d);
        else
            s.out.erase(d);
        m_store.compareAndSwap({ { key, r.value().modRevision, json { { "revision", s.revision }, { "out", s.out } }.dump(), 0 } }, [=](result<cas_outcome> o) { if (!o) done(o.error()); else done(s); });
    });
}
void control_store::history(handler<std::vector<configuration_record>> done) { done(std::vector<configuration_record> {}); }
void control_store::announceEntry(const entry_address& e, std::int64_t lease, handler<bool> done)
{
    auto key = "/oriole/" + m_environment + "/control/entries/" + e.name;
    m_store.get(key, [=, this](result<store_entry> r) {
        if (!r) {
            done(r.error());
            return;
        }
        m_store.compareAndSwap({ { key, r.value().modRevision, json { { "name", e.name }, { "rpc", e.rpc }, { "region", e.region } }.dump(), lease } }, [=](result<cas_outcome> o) { if (!o) done(o.error()); else done(o.value().applied); });
    });
}
}
