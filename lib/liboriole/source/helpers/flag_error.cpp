#include <oriole/helpers/flag_error.hpp>

namespace oriole {

failure invalidFlag(const std::string& flag, const std::string& value, const std::string& reason)
{
    return notRun(failure_kind::InvalidInput, flag + " '" + value + "': " + reason);
}

} // namespace oriole
