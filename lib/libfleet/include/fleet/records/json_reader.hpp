/// @file
/// @brief Reads JSON objects from outside in bounded memory.
///
/// Answers texts whose tree takes far more memory than their bytes: nested brackets, wide arrays and objects of short keys take
/// 10 to 80 bytes for each byte of text. Only one member, or one element of a list, is a tree at a time; members that nobody
/// reads are passed over.
#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace fleet {

/// @brief What a message is read for.
struct json_message_shape {
    struct list {
        std::function<void(const nlohmann::json& element)> take;
        bool isRequired = true;
    };

    std::set<std::string, std::less<>> members; ///< Kept in the object that is returned.
    std::map<std::string, list, std::less<>> lists; ///< Arrays whose elements are passed on and not kept.
    std::size_t maxPartBytes = 16U << 10U; ///< Of the text of a member that is kept, and of an element of a list.
};

/// @brief Reads a text whose outermost value is an object. Of a member that the shape does not name and that is longer than
/// a part may be, only the nesting and the strings are checked.
/// @return The members that the shape names; the lists are left out.
/// @throws std::invalid_argument or nlohmann::json::exception if @p text is no JSON object, has a value of another type where the
/// shape names a list, lacks a required list, or has a longer part than the shape allows. What a handler throws is passed on.
nlohmann::json readJsonMessage(std::string_view text, const json_message_shape& shape);

} // namespace fleet
