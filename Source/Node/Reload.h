// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <string>
#include <vector>

#include "Common/Types.h"
#include "Node/GatewayConfig.h"

// Takes over changed settings while a gateway or a sidecar runs.
namespace Holdpost::Node
{
// Notices that a file was written or replaced since it was looked at last.
class FileWatch
{
public:
  // The file as it is now counts as seen.
  explicit FileWatch(std::string file);

  // Looks at the file, at most once a second.
  bool HasChanged(Common::TimePoint now);
  // What is there now counts as seen.
  void MarkSeen();

private:
  struct State
  {
    std::int64_t inode = 0;
    std::int64_t size = 0;
    std::int64_t seconds = 0;
    std::int64_t nanoseconds = 0;

    bool operator==(const State&) const = default;
  };

  State Look() const;

  std::string m_file;
  State m_seen;
  Common::TimePoint m_due{};
};

// Fields that differ, by their names in the file: those that are taken over at once, and those that
// the process goes on without until its next start.
struct ReloadPlan
{
  std::vector<std::string> applied;
  std::vector<std::string> at_next_start;

  bool IsEmpty() const { return applied.empty() && at_next_start.empty(); }
};

ReloadPlan PlanReload(const GatewayConfig& before, const GatewayConfig& after);
ReloadPlan PlanReload(const SidecarConfig& before, const SidecarConfig& after);

enum class ReloadTrigger
{
  Signal,
  FileChanged,
};

// One line for each reload: what was taken over, or why the settings before stay in force.
void LogReload(ReloadTrigger trigger, const ReloadPlan& plan, Common::TimePoint now);
void LogReloadFailed(ReloadTrigger trigger, const Common::Problems& problems,
                     Common::TimePoint now);
} // namespace Holdpost::Node
