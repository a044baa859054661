// SPDX-License-Identifier: Apache-2.0
#include "Common/EventLog.h"

#include <algorithm>
#include <cerrno>
#include <unistd.h>

#include <fcntl.h>
#include <fmt/chrono.h>
#include <nlohmann/json.hpp>

namespace Holdpost::Common
{
// Lines a second, and as many at once.
static constexpr double ORDINARY_PER_SECOND = 40;
static constexpr double IMPORTANT_PER_SECOND = 400;
// Lines that wait for a reader that does not read; more are dropped.
static constexpr std::size_t UNWRITTEN_BYTES_MOST = 256 << 10;
static constexpr Duration TIME_OF_DAY_PERIOD = Seconds(1);
// Of one text in a line; what is longer is cut.
static constexpr std::size_t MAX_TEXT_BYTES = 4096;

EventLog& EventLog::Instance()
{
  static EventLog log;
  return log;
}

void EventLog::SetOutput(int descriptor)
{
  m_output = descriptor;
  const int flags = fcntl(descriptor, F_GETFL);
  if (flags >= 0 && isatty(descriptor) == 0)
    fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
}

bool EventLog::TakeFrom(Rate& rate, double per_second, TimePoint now)
{
  const double seconds = std::max(std::chrono::duration<double>(now - rate.updated).count(), 0.0);
  rate.level = std::min(per_second, rate.level + seconds * per_second);
  rate.updated = now;
  if (rate.level < 1)
    return false;
  rate.level -= 1;
  return true;
}

bool EventLog::Admits(Weight weight, TimePoint now)
{
  if (!m_is_enabled)
    return false;
  const bool is_admitted = weight == Weight::Ordinary
                               ? TakeFrom(m_ordinary, ORDINARY_PER_SECOND, now)
                               : TakeFrom(m_important, IMPORTANT_PER_SECOND, now);
  if (!is_admitted)
    ++m_dropped;
  return is_admitted;
}

std::chrono::system_clock::time_point EventLog::TimeOfDay(TimePoint now)
{
  using std::chrono::system_clock;
  if (now >= m_time_of_day_due)
  {
    const auto since_boot = BootClock::now().time_since_epoch();
    m_time_of_day = system_clock::now().time_since_epoch() -
                    std::chrono::duration_cast<system_clock::duration>(since_boot);
    m_time_of_day_due = now + TIME_OF_DAY_PERIOD;
  }
  const auto since_boot =
      std::chrono::duration_cast<system_clock::duration>(now.time_since_epoch());
  return system_clock::time_point(m_time_of_day + since_boot);
}

void EventLog::Append(std::string_view line)
{
  if (m_capture)
  {
    m_capture->append(line);
    return;
  }
  if (m_unwritten.size() + line.size() > UNWRITTEN_BYTES_MOST)
  {
    ++m_dropped;
    return;
  }
  m_unwritten.append(line);
}

void EventLog::Flush()
{
  if (m_dropped != m_dropped_told && m_unwritten.size() < UNWRITTEN_BYTES_MOST / 2)
  {
    m_unwritten +=
        fmt::format("{{\"event\":\"log.dropped\",\"lines\":{}}}\n", m_dropped - m_dropped_told);
    m_dropped_told = m_dropped;
  }
  while (!m_unwritten.empty())
  {
    const ssize_t written = write(m_output, m_unwritten.data(), m_unwritten.size());
    if (written < 0 && errno == EINTR)
      continue;
    if (written <= 0)
      return;
    m_unwritten.erase(0, static_cast<std::size_t>(written));
  }
}

namespace Detail
{
static bool IsPlain(char c)
{
  return c >= ' ' && c != '"' && c != '\\' && c != '\x7f';
}

void AppendJsonText(fmt::memory_buffer& line, std::string_view text)
{
  text = text.substr(0, MAX_TEXT_BYTES);
  if (std::ranges::all_of(text, IsPlain))
  {
    fmt::format_to(std::back_inserter(line), "\"{}\"", text);
    return;
  }
  const auto dumped =
      nlohmann::json(text).dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
  fmt::format_to(std::back_inserter(line), "{}", dumped);
}

void BeginLine(fmt::memory_buffer& line, std::string_view event, TimePoint now)
{
  const double seconds = std::chrono::duration<double>(now.time_since_epoch()).count();
  const auto time_of_day =
      std::chrono::time_point_cast<Milliseconds>(EventLog::Instance().TimeOfDay(now));
  const auto whole = std::chrono::time_point_cast<Seconds>(time_of_day);
  fmt::format_to(std::back_inserter(line),
                 "{{\"time\":\"{:%Y-%m-%dT%H:%M:%S}.{:03}Z\",\"t\":{:.4f},\"event\":\"{}\"",
                 fmt::gmtime(whole), (time_of_day - whole).count(), seconds, event);
}
} // namespace Detail
} // namespace Holdpost::Common
