#include <oriole/helpers/text.hpp>

#include <algorithm>
#include <cctype>

namespace oriole {

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

} // namespace oriole
