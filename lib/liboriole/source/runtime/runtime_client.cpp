#include <oriole/runtime/runtime_client.hpp>

#include <array>

namespace oriole {

namespace {

constexpr std::array<std::pair<runtime_state, std::string_view>, 6> stateNames { {
    { runtime_state::Running, "running" },
    { runtime_state::Finished, "finished" },
    { runtime_state::Failed, "failed" },
    { runtime_state::Stopped, "stopped" },
    { runtime_state::Expired, "expired" },
    { runtime_state::Unknown, "unknown" },
} };

} // namespace

result<runtime_address> parseRuntimeAddress(const std::string& text)
{
    constexpr std::string_view scheme = "http://";
    if (!text.starts_with(scheme))
        return notRun(failure_kind::InvalidInput, "'" + text + "' does not start with http://");

    const auto slash = text.find('/', scheme.size());
    const auto peer = parseEndpoint(text.substr(0, slash));
    if (!peer)
        return peer.error();

    runtime_address address { peer.value(), slash == std::string::npos ? "" : text.substr(slash) };
    while (address.path.ends_with('/'))
        address.path.pop_back();
    return address;
}

std::string_view toString(runtime_state state)
{
    for (const auto& [value, name] : stateNames) {
        if (value == state)
            return name;
    }
    return "unknown";
}

runtime_state parseRuntimeState(std::string_view text)
{
    for (const auto& [value, name] : stateNames) {
        if (name == text)
            return value;
    }
    return runtime_state::Unknown;
}

} // namespace oriole
