#include <oriole/ctl/entry_api.hpp>

#include <utility>

namespace oriole::ctl {

http_entry_api::http_entry_api(endpoint entry, std::chrono::milliseconds timeout)
    : m_entry(std::move(entry))
    , m_timeout(timeout)
{
}

result<http_reply> http_entry_api::call(const http_request& request)
{
    return exchange(m_entry, request, m_timeout);
}

std::string encodeUrl(const std::string& text)
{
    constexpr std::string_view unreserved = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~";
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char c : text) {
        if (unreserved.find(c) != std::string_view::npos) {
            encoded += c;
            continue;
        }
        const auto byte = static_cast<unsigned char>(c);
        encoded += '%';
        encoded += digits[byte >> 4U];
        encoded += digits[byte & 0xfU];
    }
    return encoded;
}

} // namespace oriole::ctl
