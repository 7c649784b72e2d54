#include <oriole/entry/entry_settings.hpp>
#include <oriole/helpers/flag_error.hpp>

#include <algorithm>
#include <cctype>

namespace oriole {

namespace {

// Names become part of keys in the store.
bool isKeyPart(const std::string& name)
{
    return !name.empty() && std::all_of(name.begin(), name.end(), [](unsigned char c) {
        return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
    });
}

} // namespace

result<entry_settings> checkEntrySettings(entry_settings settings)
{
    if (!isKeyPart(settings.name))
        return invalidFlag("--name", settings.name, "letters, digits, '-', '_' and '.' are allowed");
    if (!isKeyPart(settings.environment))
        return invalidFlag("--environment", settings.environment, "letters, digits, '-', '_' and '.' are allowed");
    if (settings.rpc.port == 0)
        return invalidFlag("--rpc", toString(settings.rpc), "must have a port");
    if (settings.http.port == 0)
        return invalidFlag("--http", toString(settings.http), "must have a port");
    if (settings.advertisedRpc.port == 0)
        settings.advertisedRpc = settings.rpc;
    return settings;
}

} // namespace oriole
