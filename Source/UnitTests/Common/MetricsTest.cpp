// SPDX-License-Identifier: Apache-2.0
#include <doctest/doctest.h>

#include "Common/Metrics.h"

using namespace Holdpost::Common;

TEST_CASE("Metrics in the Prometheus text form")
{
  Metrics metrics;
  metrics.Add("refused_total", Reason("queue_full"));
  metrics.Add("refused_total", Reason("queue_full"), 2);
  metrics.Set("open", 4);
  CHECK(metrics.Counter("refused_total", Reason("queue_full")) == 3);
  CHECK(metrics.Counter("refused_total", Reason("leaving")) == 0);

  SUBCASE("counters and gauges are one line each")
  {
    CHECK(metrics.Render() == "refused_total{reason=\"queue_full\"} 3\nopen 4\n");
  }
  SUBCASE("durations become quantiles in seconds")
  {
    for (int i = 1; i <= 1000; ++i)
      metrics.Observe("wait_seconds", Milliseconds(i));
    const std::string text = metrics.Render();
    CHECK(text.find("wait_seconds{quantile=\"0.95\"} 0.9") != std::string::npos);
    CHECK(text.find("wait_seconds_count 1000") != std::string::npos);
  }
  SUBCASE("or are counted in buckets")
  {
    const std::string label = ServiceOutcome("llm", "done");
    for (const int ms : {3, 40, 40, 30000})
      metrics.Record("request_seconds", Milliseconds(ms), label);
    const std::string text = metrics.Render();
    const auto has = [&](const std::string& line) { return text.find(line + "\n") != text.npos; };
    CHECK(has("request_seconds_bucket{service=\"llm\",outcome=\"done\",le=\"0.005\"} 1"));
    CHECK(has("request_seconds_bucket{service=\"llm\",outcome=\"done\",le=\"0.05\"} 3"));
    CHECK(has("request_seconds_bucket{service=\"llm\",outcome=\"done\",le=\"10\"} 3"));
    CHECK(has("request_seconds_bucket{service=\"llm\",outcome=\"done\",le=\"+Inf\"} 4"));
    CHECK(has("request_seconds_sum{service=\"llm\",outcome=\"done\"} 30.083000"));
    CHECK(has("request_seconds_count{service=\"llm\",outcome=\"done\"} 4"));
  }
}
