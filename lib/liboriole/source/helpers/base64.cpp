#include <oriole/helpers/base64.hpp>

#include <cstdint>

namespace oriole {

namespace {

constexpr std::string_view alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr std::size_t bytesPerGroup = 3;
constexpr std::size_t charactersPerGroup = 4;
constexpr unsigned bitsPerCharacter = 6;
constexpr unsigned bitsPerByte = 8;
constexpr std::uint32_t characterMask = 0x3f;
constexpr std::uint32_t byteMask = 0xff;

std::size_t countPadding(std::string_view text)
{
    if (text.ends_with("=="))
        return 2;
    return text.ends_with("=") ? 1 : 0;
}

} // namespace

std::string encodeBase64(std::string_view bytes)
{
    std::string text;
    text.reserve((bytes.size() + 2) / bytesPerGroup * charactersPerGroup);
    for (std::size_t begin = 0; begin < bytes.size(); begin += bytesPerGroup) {
        const auto group = bytes.substr(begin, bytesPerGroup);
        std::uint32_t bits = 0;
        for (std::size_t i = 0; i < bytesPerGroup; ++i)
            bits = (bits << bitsPerByte) | (i < group.size() ? static_cast<unsigned char>(group[i]) : 0U);
        for (std::size_t i = 0; i < charactersPerGroup; ++i) {
            const auto shift = bitsPerCharacter * (charactersPerGroup - 1 - i);
            text += i <= group.size() ? alphabet[(bits >> shift) & characterMask] : '=';
        }
    }
    return text;
}

std::optional<std::string> decodeBase64(std::string_view text)
{
    if (text.size() % charactersPerGroup != 0)
        return std::nullopt;
    const auto digits = text.substr(0, text.size() - countPadding(text));

    std::string bytes;
    std::uint32_t bits = 0;
    unsigned held = 0;
    for (const char digit : digits) {
        const auto value = alphabet.find(digit);
        if (value == std::string_view::npos)
            return std::nullopt;
        bits = (bits << bitsPerCharacter) | static_cast<std::uint32_t>(value);
        held += bitsPerCharacter;
        if (held < bitsPerByte)
            continue;
        held -= bitsPerByte;
        bytes += static_cast<char>((bits >> held) & byteMask);
    }
    return bytes;
}

} // namespace oriole
