#include <oriole/store/store_client.hpp>

namespace oriole {

std::string_view toString(store_health health)
{
    switch (health) {
    case store_health::Up:
        return "up";
    case store_health::Slow:
        return "slow";
    case store_health::Down:
        return "down";
    }
    return "down";
}

} // namespace oriole
