// SPDX-License-Identifier: Apache-2.0
#include "Node/Reload.h"

#include <fmt/ranges.h>
#include <sys/stat.h>

#include "Common/EventLog.h"

namespace Holdpost::Node
{
using Common::LogEvent;
using Common::TimePoint;
using Common::Weight;

static constexpr Common::Duration LOOK_PERIOD = Common::Seconds(1);

FileWatch::FileWatch(std::string file) : m_file(std::move(file)), m_seen(Look()) {}

FileWatch::State FileWatch::Look() const
{
  struct stat found = {};
  if (stat(m_file.c_str(), &found) != 0)
    return {};
  return {static_cast<std::int64_t>(found.st_ino), found.st_size, found.st_mtim.tv_sec,
          found.st_mtim.tv_nsec};
}

bool FileWatch::HasChanged(TimePoint now)
{
  if (now < m_due)
    return false;
  m_due = now + LOOK_PERIOD;
  // While the file is being replaced it may not be there.
  const State state = Look();
  return state != State{} && state != m_seen;
}

void FileWatch::MarkSeen()
{
  m_seen = Look();
}

// Collects the names of fields that differ.
template <typename Field>
static void Compare(const Field& before, const Field& after, const char* name,
                    std::vector<std::string>* names)
{
  if (before != after)
    names->emplace_back(name);
}

static void CompareMesh(const MeshConfig& before, const MeshConfig& after, ReloadPlan* plan)
{
  Compare(before.platform, after.platform, "platform", &plan->applied);
  Compare(before.seeds, after.seeds, "seeds", &plan->applied);
  Compare(before.switch_within, after.switch_within, "switch_within_ms", &plan->applied);
  Compare(before.drain_within, after.drain_within, "drain_within_ms", &plan->applied);
  Compare(before.stop_within, after.stop_within, "stop_within_seconds", &plan->applied);
  Compare(before.instance, after.instance, "instance", &plan->at_next_start);
  Compare(before.region, after.region, "region", &plan->at_next_start);
  Compare(before.hall, after.hall, "hall", &plan->at_next_start);
  Compare(before.mesh_listen, after.mesh_listen, "mesh_listen", &plan->at_next_start);
  Compare(before.admin_listen, after.admin_listen, "admin_listen", &plan->at_next_start);
  Compare(before.start_grace, after.start_grace, "start_grace_ms", &plan->at_next_start);
  Compare(before.link_bytes_per_second, after.link_bytes_per_second, "link_megabits_per_second",
          &plan->at_next_start);
}

ReloadPlan PlanReload(const GatewayConfig& before, const GatewayConfig& after)
{
  ReloadPlan plan;
  CompareMesh(before.mesh, after.mesh, &plan);
  Compare(before.retries.ratio, after.retries.ratio, "retry_ratio", &plan.applied);
  Compare(before.retries.extra, after.retries.extra, "retry_extra", &plan.applied);
  Compare(before.retries.window, after.retries.window, "retry_window_seconds", &plan.applied);
  Compare(before.ready_path, after.ready_path, "ready_path", &plan.applied);
  Compare(before.memory_bytes, after.memory_bytes, "memory_mebibytes", &plan.applied);
  Compare(before.caller_listen, after.caller_listen, "caller_listen", &plan.at_next_start);
  Compare(before.ready_listen, after.ready_listen, "ready_listen", &plan.at_next_start);
  return plan;
}

ReloadPlan PlanReload(const SidecarConfig& before, const SidecarConfig& after)
{
  ReloadPlan plan;
  CompareMesh(before.mesh, after.mesh, &plan);
  Compare(before.target, after.target, "target", &plan.at_next_start);
  Compare(before.service, after.service, "service", &plan.at_next_start);
  return plan;
}

static const char* NameOf(ReloadTrigger trigger)
{
  return trigger == ReloadTrigger::Signal ? "signal" : "file_changed";
}

void LogReload(ReloadTrigger trigger, const ReloadPlan& plan, TimePoint now)
{
  LogEvent(Weight::Important, now, "reload", "trigger", NameOf(trigger), "applied",
           fmt::format("{}", fmt::join(plan.applied, " ")), "at_next_start",
           fmt::format("{}", fmt::join(plan.at_next_start, " ")));
}

void LogReloadFailed(ReloadTrigger trigger, const Common::Problems& problems, TimePoint now)
{
  LogEvent(Weight::Important, now, "reload.failed", "trigger", NameOf(trigger), "problems",
           Common::JoinProblems(problems));
}
} // namespace Holdpost::Node
