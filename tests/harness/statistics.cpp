#include "harness/statistics.hpp"

#include <algorithm>
#include <fstream>
#include <numeric>
#include <sstream>
#include <string>

#include <unistd.h>

namespace oriole::harness {

double quantile(std::vector<double> values, double q)
{
    if (values.empty())
        return 0;
    const auto rank = static_cast<std::size_t>(q * static_cast<double>(values.size() - 1));
    const auto at = values.begin() + static_cast<std::ptrdiff_t>(rank);
    std::nth_element(values.begin(), at, values.end());
    return *at;
}

double mean(const std::vector<double>& values)
{
    if (values.empty())
        return 0;
    return std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size());
}

std::chrono::milliseconds processorTime(pid_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
    std::string text;
    std::getline(file, text);
    // The name of the program stands in parentheses and may hold spaces.
    std::istringstream fields(text.substr(std::min(text.rfind(')') + 1, text.size())));
    constexpr int fieldsBeforeUser = 11;
    std::string skipped;
    for (int i = 0; i < fieldsBeforeUser; ++i)
        fields >> skipped;
    long user = 0;
    long system = 0;
    fields >> user >> system;
    constexpr long millisecondsPerSecond = 1000;
    return std::chrono::milliseconds((user + system) * millisecondsPerSecond / ::sysconf(_SC_CLK_TCK));
}

unsigned long residentKib(pid_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(file, line);)
        if (line.starts_with("VmRSS:"))
            return std::stoul(line.substr(line.find(':') + 1));
    return 0;
}

} // namespace oriole::harness
