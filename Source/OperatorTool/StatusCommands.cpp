// SPDX-License-Identifier: Apache-2.0
#include <cstdio>

#include <nlohmann/json.hpp>
#include <unistd.h>

#include "Common/Json.h"
#include "OperatorTool/CommandLine.h"
#include "OperatorTool/OperatorConfig.h"
#include "OperatorTool/Session.h"

namespace Holdpost::OperatorTool
{
using Common::Address;
using Common::Error;
using Common::HttpReply;
using Common::Milliseconds;
using Common::Offset;
using Common::Result;
using nlohmann::json;

static constexpr Milliseconds WATCH_PERIOD = Milliseconds(100);

// The status of one instance; null if it does not answer.
static json ReadStatus(Session& session, const Address& address)
{
  const Result<HttpReply> reply = session.Get(address, "/status");
  const auto* whole = std::get_if<HttpReply>(&reply);
  if (!whole || whole->status != 200)
    return nullptr;
  return Common::ParseJsonOrDiscard(whole->body);
}

static std::string AgentDetail(const json& status)
{
  const std::string version = status["serving_version"];
  return fmt::format("service={} ready={} version={} running={} fence={}",
                     status["service"].get<std::string>(), status["ready"].get<bool>(),
                     version.empty() ? "-" : version.substr(0, 8), status["running"].get<int>(),
                     status["fence"].get<Offset>());
}

// The members of a status that are not in its first columns.
static std::string Rest(const json& status)
{
  std::string text;
  for (const auto& [name, value] : status.items())
  {
    if (name == "instance" || name == "role" || name == "hall")
      continue;
    text +=
        fmt::format(" {}={}", name, value.is_string() ? value.get<std::string>() : value.dump());
  }
  return text.empty() ? text : text.substr(1);
}

static void PrintStatus(const Address& address, const json& status)
{
  if (!status.is_object() || !status.contains("role"))
  {
    fmt::print("{:<22}no answer\n", address.ToString());
    return;
  }
  const std::string role = status["role"];
  const std::string instance = status["instance"];
  fmt::print("{:<22}{:<16}{:<8}", address.ToString(), instance, role);
  if (role == "gateway" || role == "sidecar")
  {
    fmt::print("{}\n", Rest(status));
    return;
  }
  const std::string detail =
      role == "agent" ? AgentDetail(status)
                      : fmt::format("open_requests={}", status["open_requests"].get<int>());
  fmt::print("accepted={} log={} {}\n", status["accepted"].get<Offset>(),
             status["log_reachable"].get<bool>() ? "up" : "away", detail);
}

int RunStatus(const Arguments& arguments)
{
  std::vector<std::string> nodes = CurrentConfig().nodes;
  CommandLine line("status", "Prints what instances are doing.", "");
  line.Add()("node", po::value(&nodes)->value_name("IP:PORT"),
             "admin address of an instance; may be repeated")("json", "print JSON");
  if (const auto done = line.Parse(arguments))
    return *done;
  const auto addresses = ParseAddresses(nodes, "node");
  if (!addresses)
    return Common::EXIT_BAD_INPUT;
  Session session;
  json all = json::array();
  bool is_complete = true;
  for (const Address& address : *addresses)
  {
    const json status = ReadStatus(session, address);
    is_complete = is_complete && status.is_object();
    if (line.Has("json"))
      all.push_back(status);
    else
      PrintStatus(address, status);
  }
  if (line.Has("json"))
    fmt::print("{}\n", all.dump(2));
  return is_complete ? Common::EXIT_OK : Common::EXIT_FAILED;
}

namespace
{
struct Goal
{
  Offset accepted = 0;
  std::string version; // empty: only the settings are waited for
};

bool Reaches(const json& status, const Goal& goal)
{
  if (!status.is_object() || status["accepted"].get<Offset>() < goal.accepted)
    return false;
  if (goal.version.empty() || status["role"] != "agent")
    return true;
  return status["ready"].get<bool>() &&
         status["serving_version"].get<std::string>().starts_with(goal.version);
}

// Pieces held of the version, as a share of all that the instances need.
double Progress(const std::vector<json>& statuses, const Goal& goal)
{
  double held = 0;
  double total = 0;
  for (const json& status : statuses)
  {
    if (!status.is_object() || !status.contains("versions"))
      continue;
    for (const json& version : status["versions"])
    {
      if (!version["version"].get<std::string>().starts_with(goal.version))
        continue;
      held += version["pieces_held"].get<double>();
      total += version["pieces_total"].get<double>();
    }
  }
  return total > 0 ? held / total : 0;
}
} // namespace

int RunWatch(const Arguments& arguments)
{
  std::vector<std::string> nodes = CurrentConfig().nodes;
  Goal goal;
  int timeout_seconds = 600;
  CommandLine line("watch",
                   "Waits until the settings of an offset are in force on every instance named, "
                   "and a version is ready on every agent named. Exit code 1 after the time-out.",
                   "");
  line.Add()("node", po::value(&nodes)->value_name("IP:PORT"),
             "admin address of an instance; may be repeated")(
      "accepted", po::value(&goal.accepted)->value_name("OFFSET"), "offset to wait for")(
      "ready", po::value(&goal.version)->value_name("VERSION"),
      "version to wait for")("timeout", po::value(&timeout_seconds)->value_name("SECONDS"),
                             "default 600")("json", "print JSON");
  if (const auto done = line.Parse(arguments))
    return *done;
  const auto addresses = ParseAddresses(nodes, "node");
  if (!addresses)
    return Common::EXIT_BAD_INPUT;
  Session session;
  const auto started = Common::EventLoop::Now();
  const bool is_terminal = isatty(STDERR_FILENO) != 0;
  while (true)
  {
    std::vector<json> statuses;
    std::size_t reached = 0;
    for (const Address& address : *addresses)
    {
      statuses.push_back(ReadStatus(session, address));
      reached += Reaches(statuses.back(), goal) ? 1 : 0;
    }
    const auto elapsed = Common::EventLoop::Now() - started;
    const double seconds = std::chrono::duration<double>(elapsed).count();
    if (is_terminal)
    {
      fmt::print(stderr, "\r{:.1f} s: {} of {} instances, {:.0f}% of the pieces ", seconds, reached,
                 addresses->size(), 100 * Progress(statuses, goal));
    }
    const bool is_done = reached == addresses->size();
    if (is_done || elapsed > Common::Seconds(timeout_seconds))
    {
      if (is_terminal)
        fmt::print(stderr, "\n");
      if (line.Has("json"))
      {
        fmt::print(
            "{}\n",
            json{{"reached", reached}, {"instances", addresses->size()}, {"seconds", seconds}}
                .dump());
      }
      else
        fmt::print("{} of {} instances after {:.2f} s\n", reached, addresses->size(), seconds);
      return is_done ? Common::EXIT_OK : Common::EXIT_FAILED;
    }
    session.Sleep(WATCH_PERIOD);
  }
}
} // namespace Holdpost::OperatorTool
