// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string_view>

#include <fmt/format.h>

// Logs to standard error: "I agent: sentence". One prefix for each part.
namespace Holdpost::Common
{
enum class LogLevel
{
  Error,
  Warning,
  Info,
  Debug,
};

enum class LogPart
{
  AGENT,
  CLAIMS,
  DISTRIBUTION,
  ENGINE,
  ENTRY,
  HTTP,
  INSTANCE,
  MEMBERSHIP,
  PLATFORM,
  ROUTING,
  SETTINGS,
  STANDIN,
};

void SetLogLevel(LogLevel level);
bool IsLogged(LogLevel level);
// False if the name is none of error, warning, info, debug.
bool ParseLogLevel(std::string_view name, LogLevel* level);
void WriteLog(LogLevel level, LogPart part, std::string_view sentence);
} // namespace Holdpost::Common

#define HOLDPOST_LOG(level, part, ...)                                                             \
  do                                                                                               \
  {                                                                                                \
    if (::Holdpost::Common::IsLogged(level))                                                       \
    {                                                                                              \
      ::Holdpost::Common::WriteLog(level, ::Holdpost::Common::LogPart::part,                       \
                                   fmt::format(__VA_ARGS__));                                      \
    }                                                                                              \
  } while (false)

#define ERROR_LOG(part, ...) HOLDPOST_LOG(::Holdpost::Common::LogLevel::Error, part, __VA_ARGS__)
#define WARN_LOG(part, ...) HOLDPOST_LOG(::Holdpost::Common::LogLevel::Warning, part, __VA_ARGS__)
#define INFO_LOG(part, ...) HOLDPOST_LOG(::Holdpost::Common::LogLevel::Info, part, __VA_ARGS__)
#define DEBUG_LOG(part, ...) HOLDPOST_LOG(::Holdpost::Common::LogLevel::Debug, part, __VA_ARGS__)
