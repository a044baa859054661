// SPDX-License-Identifier: Apache-2.0
#include "Common/CrashReport.h"

#include <array>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <initializer_list>
#include <iterator>

#include <execinfo.h>
#include <fmt/format.h>
#include <unistd.h>

#include "Common/EventLog.h"

namespace Holdpost::Common
{
static constexpr int FRAMES_MOST = 32;

// Addresses of the calling functions; `addr2line` turns them into lines of the source.
static void AppendFrames(fmt::memory_buffer& line)
{
  std::array<void*, FRAMES_MOST> frames{};
  const int count = backtrace(frames.data(), FRAMES_MOST);
  fmt::format_to(std::back_inserter(line), ",\"frames\":\"");
  for (int i = 0; i < count; ++i)
    fmt::format_to(std::back_inserter(line), "{}{}", i == 0 ? "" : " ", frames[i]);
  fmt::format_to(std::back_inserter(line), "\"}}\n");
}

static void WriteLast(const fmt::memory_buffer& line)
{
  EventLog::Instance().Flush();
  // Nothing can be done if it does not take the line.
  [[maybe_unused]] const ssize_t written = write(STDOUT_FILENO, line.data(), line.size());
}

static void HandleSignal(int signal_number)
{
  fmt::memory_buffer line;
  fmt::format_to(std::back_inserter(line), "{{\"event\":\"crash\",\"signal\":{}", signal_number);
  AppendFrames(line);
  WriteLast(line);
  // The handler was reset when it was called, so this ends the process.
  raise(signal_number);
}

static void HandleTerminate()
{
  std::string reason = "terminate was called";
  try
  {
    if (const std::exception_ptr current = std::current_exception())
      std::rethrow_exception(current);
  }
  catch (const std::exception& exception)
  {
    reason = exception.what();
  }
  catch (...)
  {
    reason = "an exception of an unknown type";
  }
  fmt::memory_buffer line;
  fmt::format_to(std::back_inserter(line), "{{\"event\":\"crash\",\"exception\":");
  Detail::AppendJsonText(line, reason);
  AppendFrames(line);
  WriteLast(line);
  // The line is written: the signal needs none of its own.
  std::signal(SIGABRT, SIG_DFL);
  std::abort();
}

void InstallCrashReport()
{
  // The first call loads a library, which must not happen in a handler.
  std::array<void*, 1> frame{};
  backtrace(frame.data(), 1);
  std::set_terminate(&HandleTerminate);
  struct sigaction action = {};
  action.sa_handler = &HandleSignal;
  action.sa_flags = SA_RESETHAND | SA_NODEFER;
  sigaction(SIGABRT, &action, nullptr);
#ifndef __SANITIZE_ADDRESS__ // which tells more of these by itself
  for (const int signal_number : {SIGSEGV, SIGBUS, SIGFPE, SIGILL})
    sigaction(signal_number, &action, nullptr);
#endif
}
} // namespace Holdpost::Common
