/// @file
/// @brief Ends listening on an address without cutting off a request that a caller has already sent.
///
/// cxxtools offers no call that only stops listening: its server ends listeners and connections together, and a caller
/// whose connection ends without a reply cannot know whether its request ran. A listener that is just shut down resets
/// the connections that wait to be accepted, with the same effect. Hence two steps: hold, then stop.
#pragma once

#include <oriole/http/http_client.hpp>

#include <cstddef>

namespace oriole {

/// @brief Has connections accepted as soon as they stand, also before their first byte.
///
/// cxxtools asks the system to defer that, and the system resets what is deferred when the listener ends: a caller that
/// had just connected then sends its request and gets no reply.
/// @return False when no such listener is open.
bool acceptWithoutData(const endpoint& address);

/// @brief Lets no new connection come to this process's listener on @p address; those that wait are still accepted.
///
/// The first packet of a new connection is dropped. The caller's system sends it again after a second, and is refused
/// once the listener has been stopped, so that the caller knows that nothing ran.
/// @return False when no such listener is open or the system has no packet filter for it.
bool holdNewConnections(const endpoint& address);

/// @brief Counts this process's open connections on @p address, those that wait to be accepted included.
std::size_t openConnections(const endpoint& address);

/// @brief Shuts down this process's socket that listens on @p address.
/// @return False when no such socket is open.
bool stopListening(const endpoint& address);

} // namespace oriole
