#include <oriole/helpers/metrics.hpp>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <limits>
#include <stdexcept>
#include <vector>

namespace oriole {

namespace {

namespace statistics = boost::accumulators;

constexpr std::array quantileShares { 0.5, 0.9, 0.99 };

// The estimator gives no sense before it has a value for each of its markers.
constexpr std::size_t estimatorMarkers = 2 * quantileShares.size() + 3;

using accumulator = statistics::accumulator_set<double,
    statistics::stats<statistics::tag::count, statistics::tag::sum, statistics::tag::extended_p_square>>;

std::size_t nearestShare(double share)
{
    const auto closer = [share](double a, double b) { return std::abs(a - share) < std::abs(b - share); };
    const auto* nearest = std::min_element(quantileShares.begin(), quantileShares.end(), closer);
    return static_cast<std::size_t>(nearest - quantileShares.begin());
}

std::string formatNumber(double value)
{
    if (std::isnan(value))
        return "NaN";
    if (std::isinf(value))
        return value > 0 ? "+Inf" : "-Inf";
    std::array<char, 32> buffer {};
    const auto [end, error] = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
    return { buffer.data(), end };
}

std::string escapeLabel(const std::string& text)
{
    std::string escaped;
    for (const char c : text) {
        if (c == '\\' || c == '"')
            escaped += '\\';
        escaped += c == '\n' ? std::string("\\n") : std::string(1, c);
    }
    return escaped;
}

std::string formatLabels(const metric_labels& labels)
{
    std::string text;
    for (const auto& [name, value] : labels)
        text += (text.empty() ? "{" : ",") + name + "=\"" + escapeLabel(value) + "\"";
    return text.empty() ? text : text + "}";
}

void writeSample(std::string& text, const std::string& name, const metric_labels& labels, const std::string& value)
{
    text += name + formatLabels(labels) + " " + value + "\n";
}

void writeSummary(std::string& text, const std::string& name, const metric_labels& labels, const metric_summary& metric)
{
    for (const double share : quantileShares) {
        auto withShare = labels;
        withShare["quantile"] = formatNumber(share);
        writeSample(text, name, withShare, formatNumber(metric.quantile(share)));
    }
    writeSample(text, name + "_sum", labels, formatNumber(metric.sum()));
    writeSample(text, name + "_count", labels, std::to_string(metric.count()));
}

} // namespace

struct metric_summary::state {
    state()
        : values(statistics::tag::extended_p_square::probabilities = quantileShares)
    {
    }

    mutable std::mutex mutex;
    accumulator values;
    std::vector<double> first;
};

metric_summary::metric_summary()
    : m_state(std::make_unique<state>())
{
}

metric_summary::~metric_summary() = default;

void metric_summary::observe(double value)
{
    const std::lock_guard lock(m_state->mutex);
    m_state->values(value);
    if (m_state->first.size() < estimatorMarkers)
        m_state->first.push_back(value);
}

std::uint64_t metric_summary::count() const
{
    const std::lock_guard lock(m_state->mutex);
    return statistics::count(m_state->values);
}

double metric_summary::sum() const
{
    const std::lock_guard lock(m_state->mutex);
    return statistics::sum(m_state->values);
}

double metric_summary::quantile(double share) const
{
    const std::lock_guard lock(m_state->mutex);
    const auto seen = statistics::count(m_state->values);
    if (seen == 0)
        return std::numeric_limits<double>::quiet_NaN();

    const auto index = nearestShare(share);
    if (seen > estimatorMarkers)
        return statistics::extended_p_square(m_state->values)[index];

    auto sorted = m_state->first;
    std::sort(sorted.begin(), sorted.end());
    const auto rank = std::ceil(quantileShares.at(index) * static_cast<double>(sorted.size()));
    return sorted.at(static_cast<std::size_t>(rank) - 1);
}

metric_counter& metrics_registry::counter(const std::string& name, const metric_labels& labels)
{
    return find(m_counters, name, labels);
}

metric_gauge& metrics_registry::gauge(const std::string& name, const metric_labels& labels)
{
    return find(m_gauges, name, labels);
}

metric_summary& metrics_registry::summary(const std::string& name, const metric_labels& labels)
{
    return find(m_summaries, name, labels);
}

void metrics_registry::describe(const std::string& name, const std::string& help)
{
    const std::lock_guard lock(m_mutex);
    m_help[name] = help;
}

std::string metrics_registry::exposition() const
{
    const std::lock_guard lock(m_mutex);
    std::string text;
    for (const auto& [name, metrics] : m_counters) {
        writeHead(text, name, "counter");
        for (const auto& [labels, metric] : metrics)
            writeSample(text, name, labels, std::to_string(metric->value()));
    }
    for (const auto& [name, metrics] : m_gauges) {
        writeHead(text, name, "gauge");
        for (const auto& [labels, metric] : metrics)
            writeSample(text, name, labels, formatNumber(metric->value()));
    }
    for (const auto& [name, metrics] : m_summaries) {
        writeHead(text, name, "summary");
        for (const auto& [labels, metric] : metrics)
            writeSummary(text, name, labels, *metric);
    }
    return text;
}

template <typename Metric>
Metric& metrics_registry::find(
    std::map<std::string, family<Metric>>& families, const std::string& name, const metric_labels& labels)
{
    const std::lock_guard lock(m_mutex);
    if (!families.contains(name) && kindsOf(name) > 0)
        throw std::logic_error("metric " + name + " is already of another kind");

    auto& metric = families[name][labels];
    if (metric == nullptr)
        metric = std::make_unique<Metric>();
    return *metric;
}

unsigned metrics_registry::kindsOf(const std::string& name) const
{
    return static_cast<unsigned>(m_counters.count(name) + m_gauges.count(name) + m_summaries.count(name));
}

void metrics_registry::writeHead(std::string& text, const std::string& name, const char* kind) const
{
    if (const auto help = m_help.find(name); help != m_help.end())
        text += "# HELP " + name + " " + help->second + "\n";
    text += "# TYPE " + name + " " + kind + "\n";
}

} // namespace oriole
