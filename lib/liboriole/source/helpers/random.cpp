#include <oriole/helpers/random.hpp>

#include <cstdint>
#include <random>
#include <string_view>

namespace oriole {

std::string randomId()
{
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr int length = 16;
    static thread_local std::random_device device;
    const auto high = static_cast<std::uint64_t>(device());
    auto value = high << 32U | device();

    std::string id;
    for (int i = 0; i < length; ++i) {
        id += digits[value & 0xfU];
        value >>= 4U;
    }
    return id;
}

} // namespace oriole
