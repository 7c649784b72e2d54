#include <oriole/helpers/metrics.hpp>

#include <catch2/catch.hpp>

#include <cmath>

TEST_CASE("metrics are written as Prometheus text")
{
    oriole::metrics_registry metrics;
    metrics.describe("requests_total", "Requests answered.");
    metrics.counter("requests_total", { { "verdict", "not-run" }, { "who", "a\"b\\c\nd" } }).add(2);
    metrics.gauge("in_flight").set(1.5);
    metrics.summary("latency_ms").observe(4);
    const auto text = metrics.exposition();
    CHECK(text.find("# HELP requests_total Requests answered.\n# TYPE requests_total counter\n") != std::string::npos);
    CHECK(text.find(R"(requests_total{verdict="not-run",who="a\"b\\c\nd"} 2)") != std::string::npos);
    CHECK(text.find("in_flight 1.5\n") != std::string::npos);
    CHECK(text.find("latency_ms{quantile=\"0.99\"} 4\n") != std::string::npos);
    CHECK(text.find("latency_ms_sum 4\nlatency_ms_count 1\n") != std::string::npos);
}

TEST_CASE("a name belongs to one kind of metric, also after a wrong use")
{
    oriole::metrics_registry metrics;
    metrics.counter("a").add();
    CHECK_THROWS_AS(metrics.gauge("a"), std::logic_error);
    CHECK_THROWS_AS(metrics.gauge("a"), std::logic_error);
    CHECK_NOTHROW(metrics.counter("a", { { "b", "c" } }));
    CHECK_NOTHROW(metrics.exposition());
}

TEST_CASE("quantiles are exact for few values and close for many")
{
    oriole::metric_summary few;
    CHECK(std::isnan(few.quantile(0.5)));
    for (const int value : { 3, 1, 2 })
        few.observe(value);
    CHECK(few.quantile(0.5) == 2);
    CHECK(few.quantile(0.99) == 3);

    oriole::metric_summary many;
    for (int i = 0; i < 10000; ++i)
        many.observe((i * 7919) % 10000);
    CHECK(many.quantile(0.5) == Approx(5000).epsilon(0.02));
    CHECK(many.quantile(0.9) == Approx(9000).epsilon(0.02));
    CHECK(many.quantile(0.99) == Approx(9900).epsilon(0.02));
}
