#include <oriole/core/place.hpp>

namespace oriole {

namespace {

unsigned saturatingSubtract(unsigned from, unsigned amount)
{
    return from > amount ? from - amount : 0;
}

} // namespace

accelerator_set firstAccelerators(unsigned count)
{
    constexpr unsigned bits = 64;
    return count >= bits ? ~accelerator_set { 0 } : (accelerator_set { 1 } << count) - 1;
}

resources remaining(const resources& from, const resources& taken)
{
    return { from.accelerators & ~taken.accelerators, saturatingSubtract(from.processors, taken.processors), saturatingSubtract(from.memoryGb, taken.memoryGb) };
}

bool contains(const resources& outer, const resources& inner)
{
    return (inner.accelerators & ~outer.accelerators) == 0 && inner.processors <= outer.processors && inner.memoryGb <= outer.memoryGb;
}

} // namespace oriole
