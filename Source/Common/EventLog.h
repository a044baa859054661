// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>

#include <fmt/format.h>

#include "Common/Types.h"

// The structured log: one JSON object a line on standard output. Lines are collected and written
// without ever blocking; what exceeds the limits is dropped and counted.
namespace Holdpost::Common
{
enum class Weight
{
  // The ordinary course of a request: sampled under load.
  Ordinary,
  // What an operator has to be able to find later: kept up to a much higher rate.
  Important,
};

class EventLog
{
public:
  // The log of this process.
  static EventLog& Instance();

  // Whether a line of the weight is within its rate. Counts the line as dropped if not.
  bool Admits(Weight weight, TimePoint now);
  void Append(std::string_view line);
  // Hands collected lines to the kernel as far as it takes them at once.
  void Flush();
  bool HasUnwritten() const { return !m_unwritten.empty(); }
  std::uint64_t Dropped() const { return m_dropped; }
  // The time of day at a point of the boot clock. It is looked up once a second, so that a line
  // costs no call for it; a clock that is set shows in the log after that.
  std::chrono::system_clock::time_point TimeOfDay(TimePoint now);
  void SetEnabled(bool is_enabled) { m_is_enabled = is_enabled; }
  // Writes to the descriptor from now on, and never waits for its reader. A terminal is left as it
  // is, for others write there, too.
  void SetOutput(int descriptor);
  // Where lines go instead of standard output, for tests; null for standard output.
  void SetCapture(std::string* capture) { m_capture = capture; }

private:
  struct Rate
  {
    double level = 0;
    TimePoint updated{};
  };

  bool TakeFrom(Rate& rate, double per_second, TimePoint now);

  bool m_is_enabled = false;
  std::chrono::system_clock::duration m_time_of_day{}; // at the start of the boot clock
  TimePoint m_time_of_day_due{};
  int m_output = 1; // standard output
  std::string m_unwritten;
  std::string* m_capture = nullptr;
  std::uint64_t m_dropped = 0;
  std::uint64_t m_dropped_told = 0;
  Rate m_ordinary;
  Rate m_important;
};

namespace Detail
{
// Appends a JSON string with quotes. A text that other programs made up may be cut.
void AppendJsonText(fmt::memory_buffer& line, std::string_view text);
void BeginLine(fmt::memory_buffer& line, std::string_view event, TimePoint now);

template <typename Value>
void AppendValue(fmt::memory_buffer& line, const Value& value)
{
  using Plain = std::decay_t<Value>;
  if constexpr (std::is_same_v<Plain, bool>)
    fmt::format_to(std::back_inserter(line), "{}", value ? "true" : "false");
  else if constexpr (std::is_floating_point_v<Plain>)
    fmt::format_to(std::back_inserter(line), "{:.3f}", value);
  else if constexpr (std::is_arithmetic_v<Plain>)
    fmt::format_to(std::back_inserter(line), "{}", value);
  else if constexpr (std::is_convertible_v<Value, std::string_view>)
    AppendJsonText(line, value);
  else // a duration
    fmt::format_to(std::back_inserter(line), "{:.1f}",
                   std::chrono::duration<double, std::milli>(value).count());
}

inline void AppendFields(fmt::memory_buffer& /*line*/) {}

template <typename Value, typename... Rest>
void AppendFields(fmt::memory_buffer& line, std::string_view name, const Value& value,
                  const Rest&... rest)
{
  fmt::format_to(std::back_inserter(line), ",\"{}\":", name);
  AppendValue(line, value);
  AppendFields(line, rest...);
}
} // namespace Detail

// Writes one line: the event's name, then names and values by turns. Durations are in milliseconds.
template <typename... Fields>
void LogEvent(Weight weight, TimePoint now, std::string_view event, const Fields&... fields)
{
  EventLog& log = EventLog::Instance();
  if (!log.Admits(weight, now))
    return;
  fmt::memory_buffer line;
  Detail::BeginLine(line, event, now);
  Detail::AppendFields(line, fields...);
  fmt::format_to(std::back_inserter(line), "}}\n");
  log.Append({line.data(), line.size()});
}
} // namespace Holdpost::Common
