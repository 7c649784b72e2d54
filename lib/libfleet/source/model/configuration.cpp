#include <fleet/model/configuration.hpp>

#include <algorithm>

namespace fleet {

const queue_rule* configuration::findQueue(std::string_view host, std::string_view path) const
{
    const queue_rule* best = nullptr;
    for (const auto& queue : queues) {
        if (queue.host != host || !path.starts_with(queue.prefix))
            continue;
        if (best == nullptr || queue.prefix.size() > best->prefix.size())
            best = &queue;
    }
    return best;
}

const queue_rule* configuration::findQueueByName(std::string_view name) const
{
    const auto found = std::find_if(queues.begin(), queues.end(), [&](const auto& queue) { return queue.name == name; });
    return found == queues.end() ? nullptr : &*found;
}

const organisation_rule* configuration::findOrganisationOfKey(std::string_view key) const
{
    const auto holds = [&](const organisation_rule& rule) {
        return std::find(rule.keys.begin(), rule.keys.end(), key) != rule.keys.end();
    };
    const auto found = std::find_if(organisations.begin(), organisations.end(), holds);
    return found == organisations.end() ? nullptr : &*found;
}

} // namespace fleet
