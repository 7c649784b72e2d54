#include "json_reader.hpp"

#include <algorithm>
#include <utility>

namespace oriole {

namespace {

using nlohmann::json;

constexpr std::size_t longestName = 63;
constexpr std::uint64_t longestDurationMs = 24ULL * 60 * 60 * 1000;

// Names become parts of URLs, store keys and log fields.
bool isName(const std::string& text)
{
    const auto allowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
    };
    if (text.empty() || text.size() > longestName || text.front() == '.')
        return false;
    return std::all_of(text.begin(), text.end(), allowed);
}

} // namespace

json_reader::json_reader(const json& object, std::string path)
    : m_object(object)
    , m_path(std::move(path))
{
    if (!m_object.is_object())
        throw document_error(m_path, "an object is expected");
}

std::string json_reader::name(const char* member)
{
    const auto* value = find(member);
    if (value == nullptr || !value->is_string())
        throw document_error(pathOf(member), "a name is expected");
    auto text = value->get<std::string>();
    if (!isName(text))
        throw document_error(pathOf(member), "a name has 1 to 63 of the characters a-z 0-9 - _ . and starts with no dot");
    return text;
}

std::uint64_t json_reader::integer(const char* member, std::uint64_t least, std::uint64_t most)
{
    const auto* value = find(member);
    if (value == nullptr)
        throw document_error(pathOf(member), "is missing");
    const auto range = "a whole number from " + std::to_string(least) + " to " + std::to_string(most) + " is expected";
    if (!value->is_number_unsigned())
        throw document_error(pathOf(member), range);
    const auto number = value->get<std::uint64_t>();
    if (number < least || number > most)
        throw document_error(pathOf(member), range);
    return number;
}

std::uint64_t json_reader::integer(
    const char* member, std::uint64_t least, std::uint64_t most, std::uint64_t missing)
{
    if (find(member) == nullptr)
        return missing;
    return integer(member, least, most);
}

double json_reader::share(const char* member, double missing)
{
    const auto* value = find(member);
    if (value == nullptr)
        return missing;
    if (!value->is_number() || value->get<double>() < 0 || value->get<double>() > 1)
        throw document_error(pathOf(member), "a number from 0 to 1 is expected");
    return value->get<double>();
}

bool json_reader::boolean(const char* member, bool missing)
{
    const auto* value = find(member);
    if (value == nullptr)
        return missing;
    if (!value->is_boolean())
        throw document_error(pathOf(member), "true or false is expected");
    return value->get<bool>();
}

std::chrono::milliseconds json_reader::duration(const char* member, std::chrono::milliseconds missing)
{
    return std::chrono::milliseconds(
        integer(member, 1, longestDurationMs, static_cast<std::uint64_t>(missing.count())));
}

void json_reader::object(const char* member, const std::function<void(json_reader&)>& read)
{
    const auto* value = find(member);
    if (value == nullptr)
        return;
    json_reader reader(*value, pathOf(member));
    read(reader);
    reader.finish();
}

void json_reader::array(const char* member, const std::function<void(json_reader&)>& read)
{
    const auto* value = find(member);
    if (value == nullptr)
        return;
    if (!value->is_array())
        throw document_error(pathOf(member), "an array is expected");
    for (std::size_t i = 0; i < value->size(); ++i) {
        json_reader reader((*value)[i], pathOf(member) + "[" + std::to_string(i) + "]");
        read(reader);
        reader.finish();
    }
}

void json_reader::finish() const
{
    for (const auto& [member, value] : m_object.items()) {
        if (!m_known.contains(member))
            throw document_error(pathOf(member), "is not known");
    }
}

std::string json_reader::pathOf(const std::string& member) const
{
    return m_path.empty() ? member : m_path + "." + member;
}

const json* json_reader::find(const char* member)
{
    m_known.insert(member);
    const auto found = m_object.find(member);
    return found == m_object.end() ? nullptr : &*found;
}

} // namespace oriole
