// SPDX-License-Identifier: Apache-2.0
#include "Node/Status.h"

#include <nlohmann/json.hpp>

namespace Holdpost::Node
{
using nlohmann::json;

static json SharedStatus(const NodeCore::Base& node, const char* role)
{
  return {{"instance", node.Self().instance},
          {"hall", node.Self().hall},
          {"role", role},
          {"position", node.Settings().Fold().Position()},
          {"accepted", node.Settings().Fold().AcceptedOffset()},
          {"in_force_since_seconds",
           std::chrono::duration<double>(node.InForceSince().time_since_epoch()).count()},
          {"log_reachable", node.Settings().IsLogReachable()},
          {"leaving", node.IsLeaving()},
          {"not_ready", node.NotReadyReason()}};
}

static json VersionStatus(const Common::Digest& version, std::uint32_t held, std::uint32_t total)
{
  return {{"version", version.ToHex()}, {"pieces_held", held}, {"pieces_total", total}};
}

static std::string VersionText(const Membership::ServiceState& service)
{
  return service.is_ready && !service.version.IsZero() ? service.version.ToHex() : "";
}

std::string StatusOf(const NodeCore::Agent& agent)
{
  json status = SharedStatus(agent, "agent");
  status["versions"] = json::array();
  for (const auto& [version, swarm] : agent.Weights().Versions())
  {
    const auto& manifest = swarm->ManifestHeld();
    json row = VersionStatus(version, swarm->PiecesHeld(), manifest ? manifest->PieceCount() : 0);
    // On the machine's monotonic clock, so that benchmarks on one machine can compare.
    row["held_at_seconds"] =
        std::chrono::duration<double>(swarm->HeldAt().time_since_epoch()).count();
    status["versions"].push_back(std::move(row));
  }
  const Membership::ServiceState& serving = agent.TargetState().Serving();
  status["fence"] = agent.TargetLease().FencingToken();
  status["service"] = serving.service;
  status["ready"] = serving.is_ready;
  status["serving_version"] = VersionText(serving);
  status["running"] = agent.Account().Running();
  return status.dump();
}

static json MemberStatus(const std::string& name, const Membership::Member& member, bool is_alive)
{
  const Membership::Report& report = member.report;
  json row = {{"instance", name},
              {"hall", report.hall},
              {"role", report.role == Membership::Role::Entry ? "entry" : "agent"},
              {"alive", is_alive},
              {"accepted", report.accepted}};
  if (!report.services.empty())
  {
    const Membership::ServiceState& service = report.services.front();
    row["service"] = service.service;
    row["ready"] = service.is_ready;
    row["serving_version"] = VersionText(service);
    row["running"] = service.running;
    row["credits"] = report.credits;
  }
  for (const Membership::VersionState& version : report.versions)
  {
    row["versions"].push_back(
        VersionStatus(version.version, version.pieces_held, version.pieces_total));
  }
  return row;
}

std::string StatusOf(const NodeCore::Entry& entry, Common::TimePoint now)
{
  json status = SharedStatus(entry, "entry");
  status["open_requests"] = entry.OpenRequests();
  status["instances"] = json::array();
  for (const auto& [name, member] : entry.Members().All())
    status["instances"].push_back(MemberStatus(name, member, entry.Members().IsAlive(member, now)));
  return status.dump();
}
} // namespace Holdpost::Node
