#include <oriole/control/configuration.hpp>

namespace oriole {

// Stands in until the parser lands.
result<configuration> parseConfiguration(const std::string&)
{
    return configuration {};
}

} // namespace oriole
