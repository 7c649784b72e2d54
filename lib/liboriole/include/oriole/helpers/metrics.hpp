/// @file
/// @brief Counters, gauges and summaries with quantiles, written out as Prometheus text.
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace oriole {

using metric_labels = std::map<std::string, std::string>;

/// @brief A count that only grows. Any thread may use it.
class metric_counter {
public:
    void add(std::uint64_t count = 1) { m_value += count; }
    [[nodiscard]] std::uint64_t value() const { return m_value; }

private:
    std::atomic<std::uint64_t> m_value { 0 };
};

/// @brief A value that goes up and down. Any thread may use it.
class metric_gauge {
public:
    void set(double value) { m_value = value; }
    [[nodiscard]] double value() const { return m_value; }

private:
    std::atomic<double> m_value { 0 };
};

/// @brief Count, sum and estimated quantiles (p50, p90, p99) of all values since the start. Any thread may use it.
class metric_summary {
public:
    metric_summary();
    ~metric_summary();

    void observe(double value);
    [[nodiscard]] std::uint64_t count() const;
    [[nodiscard]] double sum() const;

    /// @brief Returns the estimate of a quantile.
    /// @param share One of 0.5, 0.9 and 0.99; another one gives the nearest of these.
    /// @return NaN when nothing was observed.
    [[nodiscard]] double quantile(double share) const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

/// @brief All metrics of a process. Returned references stay valid for the life of the registry.
///
/// A name belongs to one kind of metric; using it for another one throws std::logic_error.
class metrics_registry {
public:
    metric_counter& counter(const std::string& name, const metric_labels& labels = {});
    metric_gauge& gauge(const std::string& name, const metric_labels& labels = {});
    metric_summary& summary(const std::string& name, const metric_labels& labels = {});

    /// @brief Sets the help text of a metric.
    void describe(const std::string& name, const std::string& help);

    /// @brief Writes all metrics in the Prometheus text format, version 0.0.4.
    [[nodiscard]] std::string exposition() const;

private:
    template <typename Metric>
    using family = std::map<metric_labels, std::unique_ptr<Metric>>;

    template <typename Metric>
    Metric& find(std::map<std::string, family<Metric>>& families, const std::string& name, const metric_labels& labels);
    [[nodiscard]] unsigned kindsOf(const std::string& name) const;
    void writeHead(std::string& text, const std::string& name, const char* kind) const;

    mutable std::mutex m_mutex;
    std::map<std::string, std::string> m_help;
    std::map<std::string, family<metric_counter>> m_counters;
    std::map<std::string, family<metric_gauge>> m_gauges;
    std::map<std::string, family<metric_summary>> m_summaries;
};

} // namespace oriole
