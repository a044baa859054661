// SPDX-License-Identifier: Apache-2.0
#include "OperatorTool/LossReport.h"

#include <algorithm>
#include <cmath>
#include <set>

#include <fmt/format.h>

namespace Holdpost::OperatorTool
{
static constexpr std::int64_t SECONDS_OF_DAY = 86400;
static constexpr double MEDIAN = 0.5;
static constexpr double TAIL = 0.9;

static bool IsLoss(const LogLine& line)
{
  return line.event == "request.refused" || line.event == "request.cut";
}

// A cut request was lost after its answer had begun, which is another loss than a refusal.
static std::string ReasonOf(const LogLine& line)
{
  const std::string reason = line.Text("reason");
  return line.event == "request.cut" ? "cut:" + reason : reason;
}

static void CountLoss(const LogLine& line, LossReport* report)
{
  const std::string reason = ReasonOf(line);
  const std::string service = line.Text("service");
  ++report->by_service[service.empty() ? "none" : service][reason];
  const std::optional<double> time = line.TimeOfDay();
  if (!time)
  {
    ++report->without_time;
    return;
  }
  const auto period = report->period.count();
  const auto second = static_cast<std::int64_t>(std::floor(*time)) / period * period;
  ++report->by_time[second][reason];
}

LossReport SumUpLosses(const std::vector<LogLine>& lines, std::chrono::seconds period)
{
  LossReport report;
  report.period = period;
  for (const LogLine& line : lines)
  {
    if (IsLoss(line))
      CountLoss(line, &report);
    if (line.event == "request.started")
    {
      report.starts[line.Text("service")].emplace_back(line.fields.value("expected_ms", 0.0),
                                                       line.fields.value("took_ms", 0.0));
    }
  }
  return report;
}

static std::string PrintRow(const std::string& name, const std::set<std::string>& reasons,
                            const CountsByReason& counts)
{
  std::string text = fmt::format("{:<14}", name);
  for (const std::string& reason : reasons)
  {
    const auto found = counts.find(reason);
    const std::uint32_t count = found == counts.end() ? 0 : found->second;
    text += fmt::format(" {:>{}}", count, std::max<std::size_t>(reason.size(), 6));
  }
  return text + "\n";
}

static std::string PrintHead(const std::string& name, const std::set<std::string>& reasons)
{
  std::string text = fmt::format("{:<14}", name);
  for (const std::string& reason : reasons)
    text += fmt::format(" {:>6}", reason);
  return text + "\n";
}

static std::string ClockOf(std::int64_t second)
{
  const std::int64_t of_day = second % SECONDS_OF_DAY;
  return fmt::format("{:02}:{:02}:{:02}", of_day / 3600, of_day / 60 % 60, of_day % 60);
}

// The value below which the part of them lies. Sorts the values.
static double Quantile(std::vector<double>& values, double part)
{
  std::ranges::sort(values);
  const auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<std::size_t>(std::lround(part * last))];
}

static std::string PrintStarts(const LossReport& report)
{
  std::string text = "Expected and real time until answers begin, ms (median, nine tenths):\n";
  for (const auto& [service, starts] : report.starts)
  {
    std::vector<double> expected;
    std::vector<double> real;
    for (const auto& [expected_ms, took_ms] : starts)
    {
      expected.push_back(expected_ms);
      real.push_back(took_ms);
    }
    text += fmt::format("{:<14} {:>6.0f} {:>6.0f} expected, {:>6.0f} {:>6.0f} real, of {} starts\n",
                        service, Quantile(expected, MEDIAN), Quantile(expected, TAIL),
                        Quantile(real, MEDIAN), Quantile(real, TAIL), starts.size());
  }
  return text;
}

std::string PrintLosses(const LossReport& report)
{
  std::set<std::string> reasons;
  for (const auto& [service, counts] : report.by_service)
  {
    for (const auto& [reason, count] : counts)
      reasons.insert(reason);
  }
  if (reasons.empty())
    return report.starts.empty() ? "No request was lost.\n"
                                 : "No request was lost.\n\n" + PrintStarts(report);
  std::string text = PrintHead(fmt::format("from, {} s", report.period.count()), reasons);
  for (const auto& [second, counts] : report.by_time)
    text += PrintRow(ClockOf(second), reasons, counts);
  if (report.without_time > 0)
    text += fmt::format("{} lines have no time of day.\n", report.without_time);
  text += "\n" + PrintHead("service", reasons);
  for (const auto& [service, counts] : report.by_service)
    text += PrintRow(service, reasons, counts);
  if (!report.starts.empty())
    text += "\n" + PrintStarts(report);
  return text;
}
} // namespace Holdpost::OperatorTool
