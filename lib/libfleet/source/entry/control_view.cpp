#include <fleet/entry/control_view.hpp>

#include <utility>

namespace fleet {

namespace {

// A refusal rests on a view read this lately: a key or queue that was just added is not refused.
constexpr milliseconds refusalFreshness { 200 };

} // namespace

admission_verdict admit(const control_view& view, const std::string& host, const std::string& path, const std::string& key)
{
    if (!view.known)
        return denial::NoConfiguration;
    const auto* queue = view.rules.findQueue(host, path);
    if (queue == nullptr)
        return denial::NoQueue;
    if (queue->anonymous)
        return admission { *queue, {} };
    const auto* organisation = view.rules.findOrganisationOfKey(key);
    if (key.empty() || organisation == nullptr)
        return denial::UnknownKey;
    return admission { *queue, organisation->name };
}

void admitCurrent(control_source& source, oriole::time_point now, milliseconds freshness, const std::string& host,
    const std::string& path, const std::string& key, std::function<void(admission_verdict)> done)
{
    auto verdict = admit(source.view(), host, path, key);
    const auto age = now - source.view().provenAt;
    const bool admitted = std::holds_alternative<admission>(verdict);
    if (source.view().known && age <= (admitted ? freshness : refusalFreshness))
        return done(std::move(verdict));
    source.refresh([&source, host, path, key, done = std::move(done)](bool proven) {
        if (!proven)
            return done(source.view().known ? denial::NotCurrent : denial::NoConfiguration);
        done(admit(source.view(), host, path, key));
    });
}

} // namespace fleet
