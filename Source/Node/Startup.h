// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <csignal>

#include <malloc.h>
#include <unistd.h>

#include "Common/CrashReport.h"
#include "Common/EventLog.h"

// What gateways and sidecars do before anything else.
namespace Holdpost::Node
{
inline constexpr int OWN_PAGES_BYTES = 128 << 10;

// Writes to closed connections end no process, faults are reported, and the log goes to standard
// output.
inline void PrepareProcess()
{
  std::signal(SIGPIPE, SIG_IGN);
  // Bodies and pieces have pages of their own, which go back to the system as soon as they are
  // freed. By itself the allocator would raise the size for that after the first of them.
  mallopt(M_MMAP_THRESHOLD, OWN_PAGES_BYTES);
  Common::InstallCrashReport();
  Common::EventLog::Instance().SetOutput(STDOUT_FILENO);
  Common::EventLog::Instance().SetEnabled(true);
}
} // namespace Holdpost::Node
