// SPDX-License-Identifier: Apache-2.0
#include "Common/Log.h"

#include <array>
#include <atomic>
#include <cstdio>

namespace Holdpost::Common
{
namespace
{
constexpr std::array<std::string_view, 4> LEVEL_NAMES = {"error", "warning", "info", "debug"};
constexpr std::array<std::string_view, 12> PART_NAMES = {
    "agent",    "claims",     "distribution", "engine",  "entry",    "http",
    "instance", "membership", "platform",     "routing", "settings", "standin"};
static_assert(PART_NAMES.size() == static_cast<std::size_t>(LogPart::STANDIN) + 1);

std::atomic<LogLevel> s_level = LogLevel::Info;
} // namespace

void SetLogLevel(LogLevel level)
{
  s_level = level;
}

bool IsLogged(LogLevel level)
{
  return level <= s_level.load(std::memory_order_relaxed);
}

bool ParseLogLevel(std::string_view name, LogLevel* level)
{
  for (std::size_t i = 0; i < LEVEL_NAMES.size(); ++i)
  {
    if (LEVEL_NAMES[i] == name)
    {
      *level = static_cast<LogLevel>(i);
      return true;
    }
  }
  return false;
}

void WriteLog(LogLevel level, LogPart part, std::string_view sentence)
{
  static constexpr std::string_view LETTERS = "EWID";
  // One call for each line, so that lines of two tasks never mix.
  fmt::print(stderr, "{} {}: {}\n", LETTERS[static_cast<std::size_t>(level)],
             PART_NAMES[static_cast<std::size_t>(part)], sentence);
}
} // namespace Holdpost::Common
