/// @file
/// @brief Ends listening on an address while the connections accepted there live on.
#pragma once

#include <oriole/http/http_client.hpp>

namespace oriole {

/// @brief Shuts down this process's socket that listens on @p address.
///
/// cxxtools offers no call that only stops listening: its server ends listeners and connections together, and a caller
/// whose connection ends without a reply cannot know whether its request ran.
/// @return False when no such socket is open.
bool stopListening(const endpoint& address);

} // namespace oriole
