#include <oriole/ctl/output.hpp>

#include <algorithm>
#include <string>
#include <vector>

namespace oriole::ctl {

namespace {

using nlohmann::json;
using table_row = std::vector<std::string>;

constexpr std::size_t columnGap = 2;
constexpr int jsonIndent = 2;

std::string dump(const json& value, int indent = -1)
{
    return value.dump(indent, ' ', false, json::error_handler_t::replace);
}

std::string cell(const json& value)
{
    return value.is_string() ? value.get<std::string>() : dump(value);
}

bool isTable(const json& value)
{
    const auto isObject = [](const json& item) { return item.is_object(); };
    return value.is_array() && !value.empty() && std::all_of(value.begin(), value.end(), isObject);
}

std::vector<std::string> columnsOf(const json& rows)
{
    std::vector<std::string> columns;
    for (const auto& row : rows) {
        for (const auto& [name, value] : row.items()) {
            if (std::find(columns.begin(), columns.end(), name) == columns.end())
                columns.push_back(name);
        }
    }
    return columns;
}

std::vector<std::size_t> widthsOf(const std::vector<table_row>& rows)
{
    std::vector<std::size_t> widths(rows.front().size(), 0);
    for (const auto& row : rows) {
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    return widths;
}

void printRows(std::ostream& out, const std::vector<table_row>& rows)
{
    const auto widths = widthsOf(rows);
    for (const auto& row : rows) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i) {
            line += row[i];
            if (i + 1 < row.size())
                line.append(widths[i] - row[i].size() + columnGap, ' ');
        }
        out << line << "\n";
    }
}

void printTable(std::ostream& out, const json& value)
{
    const auto columns = columnsOf(value);
    std::vector<table_row> rows { columns };
    for (const auto& item : value) {
        table_row row;
        row.reserve(columns.size());
        for (const auto& column : columns)
            row.push_back(item.contains(column) ? cell(item.at(column)) : "");
        rows.push_back(std::move(row));
    }
    printRows(out, rows);
}

void printObject(std::ostream& out, const json& value)
{
    std::vector<table_row> rows;
    for (const auto& [name, member] : value.items()) {
        if (!isTable(member))
            rows.push_back({ name, cell(member) });
    }
    if (!rows.empty())
        printRows(out, rows);
    for (const auto& [name, member] : value.items()) {
        if (!isTable(member))
            continue;
        out << "\n"
            << name << ":\n";
        printTable(out, member);
    }
}

} // namespace

void print(std::ostream& out, output_format format, const json& value)
{
    if (format == output_format::Json) {
        out << dump(value, jsonIndent) << "\n";
        return;
    }
    if (isTable(value))
        printTable(out, value);
    else if (value.is_object())
        printObject(out, value);
    else if (value.is_array())
        std::for_each(value.begin(), value.end(), [&](const json& item) { out << cell(item) << "\n"; });
    else
        out << cell(value) << "\n";
}

} // namespace oriole::ctl
