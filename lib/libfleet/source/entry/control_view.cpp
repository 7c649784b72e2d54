#include <fleet/entry/control_view.hpp>

#include <utility>

namespace fleet {

namespace {

// A call is refused only on a view at most this old, so that a key or queue that was just added is not refused.
constexpr milliseconds maxViewAgeForRefusal { 200 };

} // namespace

admission_result admit(const control_view& view, const std::string& host, const std::string& path, const std::string& key)
{
    if (!view.loaded)
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

void admitWithFreshView(control_source& source, oriole::time_point now, milliseconds maxViewAge, const std::string& host,
    const std::string& path, const std::string& key, std::function<void(admission_result)> done)
{
    auto decision = admit(source.view(), host, path, key);
    const auto age = now - source.view().confirmedAt;
    const bool admitted = std::holds_alternative<admission>(decision);
    if (source.view().loaded && age <= (admitted ? maxViewAge : maxViewAgeForRefusal))
        return done(std::move(decision));
    source.refresh([&source, host, path, key, done = std::move(done)](bool confirmed) {
        if (!confirmed)
            return done(source.view().loaded ? denial::StaleView : denial::NoConfiguration);
        done(admit(source.view(), host, path, key));
    });
}

} // namespace fleet
