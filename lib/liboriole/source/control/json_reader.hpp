/// @file
/// @brief Reads members of a JSON object, refuses unknown ones and names the path of each fault.
#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <limits>
#include <set>
#include <stdexcept>
#include <string>

namespace oriole {

/// @brief A fault in a document; its text starts with the path of the faulty member.
struct document_error : std::runtime_error {
    document_error(const std::string& path, const std::string& fault)
        : std::runtime_error((path.empty() ? "document" : path) + ": " + fault)
    {
    }
};

/// @brief Reads one object. Call @c finish after the last member: what was not read by then is unknown.
class json_reader {
public:
    json_reader(const nlohmann::json& object, std::string path);

    std::string name(const char* member);
    std::uint64_t integer(const char* member, std::uint64_t least, std::uint64_t most);
    std::uint64_t integer(const char* member, std::uint64_t least, std::uint64_t most, std::uint64_t missing);
    double share(const char* member, double missing);
    bool boolean(const char* member, bool missing);
    std::chrono::milliseconds duration(const char* member, std::chrono::milliseconds missing);

    /// @brief Reads an object; a missing one counts as empty.
    void object(const char* member, const std::function<void(json_reader&)>& read);

    /// @brief Reads an array of objects; a missing one counts as empty.
    void array(const char* member, const std::function<void(json_reader&)>& read);

    void finish() const;

    [[nodiscard]] std::string pathOf(const std::string& member) const;

private:
    const nlohmann::json* find(const char* member);

    const nlohmann::json& m_object;
    std::string m_path;
    std::set<std::string> m_known;
};

} // namespace oriole
