// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <csignal>

#include <unistd.h>

#include "Common/CrashReport.h"
#include "Common/EventLog.h"

// What gateways and sidecars do before anything else.
namespace Holdpost::Node
{
// Writes to closed connections end no process, faults are reported, and the log goes to standard
// output.
inline void PrepareProcess()
{
  std::signal(SIGPIPE, SIG_IGN);
  Common::InstallCrashReport();
  Common::EventLog::Instance().SetOutput(STDOUT_FILENO);
  Common::EventLog::Instance().SetEnabled(true);
}
} // namespace Holdpost::Node
