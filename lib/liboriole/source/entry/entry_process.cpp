#include <oriole/entry/entry_process.hpp>

namespace oriole {

int runEntry(const entry_settings&)
{
    return 1;
}

} // namespace oriole
