#include <fleet/records/json_reader.hpp>

#include <algorithm>
#include <optional>
#include <stdexcept>
#include <vector>

namespace fleet {

namespace {

using nlohmann::json;

constexpr std::string_view whitespace = " \t\n\r";
// Names longer than this belong to no member that is read.
constexpr std::size_t maxNameBytes = 256;

/// @brief Finds where values begin and end, without a tree. What is inside a value is left to the parser.
class json_scanner {
public:
    explicit json_scanner(std::string_view text)
        : m_text(text)
    {
    }

    /// @brief The next character that is no white space, which stays; no value at the end of the text.
    std::optional<char> peek()
    {
        m_position = std::min(m_text.find_first_not_of(whitespace, m_position), m_text.size());
        return m_position < m_text.size() ? std::optional(m_text[m_position]) : std::nullopt;
    }

    bool accept(char wanted)
    {
        if (peek() != wanted)
            return false;
        ++m_position;
        return true;
    }

    void expect(char wanted)
    {
        if (!accept(wanted))
            throw std::invalid_argument(std::string("no valid JSON: '") + wanted + "' expected at byte " + std::to_string(m_position));
    }

    /// @brief Passes over a value.
    /// @return The text of the value.
    std::string_view takeValue()
    {
        const auto first = peek();
        const auto begin = m_position;
        if (first == '"')
            skipString();
        else if (first == '[' || first == '{')
            skipContainer();
        else
            m_position = std::min(m_text.find_first_of(",]} \t\n\r", begin), m_text.size());
        if (m_position == begin)
            throw std::invalid_argument("no valid JSON: value expected at byte " + std::to_string(begin));
        return m_text.substr(begin, m_position - begin);
    }

private:
    void skipString()
    {
        for (++m_position; m_position < m_text.size(); ++m_position) {
            if (m_text[m_position] == '\\') {
                ++m_position;
            } else if (m_text[m_position] == '"') {
                ++m_position;
                return;
            }
        }
        throw std::invalid_argument("no valid JSON: a string has no end");
    }

    void skipContainer()
    {
        std::vector<bool> isObject; // By depth: two bits of memory, at most, for a byte of text.
        while ((m_position = m_text.find_first_of("\"[]{}", m_position)) != std::string_view::npos) {
            const char found = m_text[m_position];
            if (found == '"') {
                skipString();
                continue;
            }
            ++m_position;
            if (found == '[' || found == '{') {
                isObject.push_back(found == '{');
                continue;
            }
            if (isObject.back() != (found == '}'))
                break;
            isObject.pop_back();
            if (isObject.empty())
                return;
        }
        throw std::invalid_argument("no valid JSON: brackets are not closed");
    }

    std::string_view m_text;
    std::size_t m_position = 0;
};

/// @brief Reads the members of one message.
class message_reader {
public:
    message_reader(std::string_view text, const json_message_shape& shape)
        : m_scanner(text)
        , m_shape(shape)
    {
    }

    json read()
    {
        m_scanner.expect('{');
        if (!m_scanner.accept('}')) {
            do
                readMember();
            while (m_scanner.accept(','));
            m_scanner.expect('}');
        }
        if (m_scanner.peek())
            throw std::invalid_argument("no valid JSON: text after the end of the message");
        for (const auto& [name, list] : m_shape.lists) {
            if (list.isRequired && !m_listsSeen.contains(name))
                throw std::invalid_argument("'" + name + "' is missing");
        }
        return std::move(m_message);
    }

private:
    void readMember()
    {
        if (m_scanner.peek() != '"')
            throw std::invalid_argument("no valid JSON: the name of a member is expected");
        const auto quoted = m_scanner.takeValue();
        const auto name = quoted.size() > maxNameBytes ? std::string() : json::parse(quoted).get<std::string>();
        m_scanner.expect(':');
        if (const auto list = m_shape.lists.find(name); list != m_shape.lists.end())
            return readList(name, list->second);
        const auto value = m_scanner.takeValue();
        if (m_shape.members.contains(name))
            m_message[name] = parsePart(name, value);
        else if (value.size() <= m_shape.maxPartBytes && !json::accept(value))
            throw std::invalid_argument("no valid JSON: the value of '" + name + "'");
    }

    void readList(const std::string& name, const json_message_shape::list& list)
    {
        if (m_scanner.peek() != '[')
            throw std::invalid_argument("'" + name + "' is no array");
        if (!m_listsSeen.insert(name).second)
            throw std::invalid_argument("'" + name + "' comes twice");
        m_scanner.expect('[');
        if (m_scanner.accept(']'))
            return;
        do
            list.take(parsePart(name, m_scanner.takeValue()));
        while (m_scanner.accept(','));
        m_scanner.expect(']');
    }

    [[nodiscard]] json parsePart(const std::string& name, std::string_view part) const
    {
        if (part.size() > m_shape.maxPartBytes) {
            throw std::invalid_argument("a value of '" + name + "' has " + std::to_string(part.size()) + " bytes; the limit is "
                + std::to_string(m_shape.maxPartBytes));
        }
        return json::parse(part);
    }

    json_scanner m_scanner;
    const json_message_shape& m_shape;
    json m_message = json::object();
    std::set<std::string, std::less<>> m_listsSeen;
};

} // namespace

json readJsonMessage(std::string_view text, const json_message_shape& shape)
{
    return message_reader(text, shape).read();
}

} // namespace fleet
