// SPDX-License-Identifier: Apache-2.0
#include "OperatorTool/LogStory.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <ctime>
#include <iomanip>
#include <map>
#include <optional>
#include <set>
#include <sstream>

#include <fmt/format.h>

#include "Common/Json.h"

namespace Holdpost::OperatorTool
{
using nlohmann::ordered_json;

// Beliefs that changed so long before a request still explain what became of it.
static constexpr double CONTEXT_SECONDS = 2;
// So do switches of its targets that are no further away than this.
static constexpr double NEAR_SECONDS = 10;

struct Cause
{
  std::string_view reason;
  std::string_view text;
};

// What an operator is told of each reason of a refusal, a cut or a retry.
static constexpr std::array CAUSES = {
    Cause{"queue_full", "no target was expected to begin it within its goal: the service is "
                        "overloaded, or too few of its targets are open. It did not run."},
    Cause{"no_weights",
          "every target was loading weights, or had none that may still be used: look "
          "at the push. It did not run."},
    Cause{"target_refused", "each target that was asked had no room. It did not run."},
    Cause{"not_ready", "the gateway did not know any settings yet. It did not run."},
    Cause{"leaving", "the gateway was stopping. It did not run."},
    Cause{"not_found", "no route of the settings in force fits its host and path."},
    Cause{"bad_credential", "its credential belongs to no organisation of the settings in force."},
    Cause{"unreachable", "a target was lost, or its weights were about to be too old, while the "
                         "request may have run, and it could not be run again."},
    Cause{"answer_timeout", "its time was over before an answer came; whether it ran is not "
                            "known."}};

std::vector<LogLine> ReadLog(std::istream& input, const std::string& process)
{
  std::vector<LogLine> lines;
  for (std::string text; std::getline(input, text);)
  {
    const auto begin = text.find('{');
    if (begin == std::string::npos)
      continue;
    ordered_json object =
        Common::ParseJsonOrDiscard<ordered_json>(std::string_view(text).substr(begin));
    if (!object.is_object() || !object.contains("event") || !object.contains("t"))
      continue;
    LogLine line{process, object["t"], object["event"], {}};
    const std::string prefix = text.substr(0, begin);
    const auto end = prefix.find_last_not_of(" \t");
    if (end != std::string::npos)
    {
      const auto space = prefix.find_last_of(" \t", end);
      line.process = prefix.substr(space == std::string::npos ? 0 : space + 1, end - space);
    }
    object.erase("t");
    object.erase("event");
    line.fields = std::move(object);
    lines.push_back(std::move(line));
  }
  return lines;
}

std::string LogLine::Text(const std::string& field) const
{
  const auto found = fields.find(field);
  return found != fields.end() && found->is_string() ? found->get<std::string>() : "";
}

std::optional<double> LogLine::TimeOfDay() const
{
  std::tm parts{};
  std::istringstream input(Text("time"));
  if (!(input >> std::get_time(&parts, "%Y-%m-%dT%H:%M:%S")))
    return std::nullopt;
  double fraction = 0;
  input >> fraction;
  return static_cast<double>(timegm(&parts)) + fraction;
}

// What the process came to believe of anything that a request depends on, or of one of its targets.
static bool IsBelief(const LogLine& line, const std::set<std::string>& targets)
{
  static constexpr std::array GROUPS = {"settings.", "weights.named", "platform.", "reader.",
                                        "targets.",  "gateways.",     "reload.",   "stop",
                                        "start",     "log."};
  if (line.event.starts_with("target."))
    return targets.contains(line.Text("target"));
  return std::ranges::any_of(GROUPS,
                             [&](const char* group) { return line.event.starts_with(group); });
}

static std::string Describe(const LogLine& line, double origin, const std::string& request)
{
  std::string text = fmt::format("{:+10.1f} ms  {:<18}", (line.time - origin) * 1000, line.event);
  for (const auto& [name, value] : line.fields.items())
  {
    if ((name == "request" && value == request) || name == "time")
      continue;
    text +=
        fmt::format(" {}={}", name, value.is_string() ? value.get<std::string>() : value.dump());
  }
  return text + "\n";
}

// Why the service's targets did not take a refused request, where its line tells.
static std::string TellTargets(const LogLine& refused)
{
  struct Group
  {
    const char* field;
    const char* text;
  };
  static constexpr std::array GROUPS = {
      Group{"open", "open"},
      Group{"leaving", "leaving"},
      Group{"avoided", "avoided after a failure, or full"},
      Group{"switching", "loading other weights"},
      Group{"without_weights", "without weights"},
      Group{"unreported", "listed, but not reported by their agents since the gateway's start"},
      Group{"old_weights", "with weights that would be too old when it begins"}};
  if (!refused.fields.contains("targets"))
    return "";
  std::string text;
  for (const Group& group : GROUPS)
  {
    if (const auto count = refused.fields.value(group.field, 0U); count > 0)
      text += fmt::format("{}{} {}", text.empty() ? "" : ", ", count, group.text);
  }
  return fmt::format("Of the {} targets of the service: {}.\n", refused.fields.value("targets", 0U),
                     text.empty() ? "none was known" : text);
}

static std::string Conclude(const LogLine& last)
{
  if (last.event == "request.done" && last.fields.value("answer_status", 0) >= 500)
    return "It was answered with the target's own failure, which is passed on as it is.\n";
  if (last.event == "request.done")
    return "It was answered whole.\n";
  if (last.event == "request.left")
    return "Its caller left before the answer ended.\n";
  if (last.event != "request.refused" && last.event != "request.cut")
    return "The log does not say how it ended: lines were dropped, or it still runs.\n";
  const std::string reason = last.Text("reason");
  const auto cause = std::ranges::find(CAUSES, reason, &Cause::reason);
  return fmt::format("It was {}: {}\n{}",
                     last.event == "request.cut" ? "cut after it had begun" : "refused",
                     cause == CAUSES.end() ? reason : cause->text, TellTargets(last));
}

// What the sidecars beside its targets say of their engines around that time; all that they say if
// the lines have no time of day.
static std::string TellSwitches(const std::vector<LogLine>& lines,
                                const std::set<std::string>& addresses, const LogLine& first)
{
  const std::optional<double> origin = first.TimeOfDay();
  std::map<std::string, std::string> sidecars;
  for (const LogLine& line : lines)
  {
    if (line.event == "start" && addresses.contains(line.Text("target")))
      sidecars[line.process] = line.Text("target");
  }
  std::string text;
  for (const LogLine& line : lines)
  {
    const auto sidecar = sidecars.find(line.process);
    const bool is_meant = sidecar != sidecars.end() &&
                          (line.event.starts_with("switch.") || line.event.starts_with("engine.") ||
                           line.event.starts_with("load.") || line.event.starts_with("stage."));
    if (!is_meant)
      continue;
    const std::optional<double> at = line.TimeOfDay();
    if (origin && at && std::abs(*at - *origin) > NEAR_SECONDS)
      continue;
    const std::string when = origin && at ? fmt::format("{:+.1f} ms", (*at - *origin) * 1000)
                                          : fmt::format("at {:.3f} s of its clock", line.time);
    text += fmt::format("  {} ({}) {}: {}", line.process, sidecar->second, when,
                        Describe(line, line.time, "").substr(15));
  }
  return text.empty() ? "" : "The sidecars of its targets:\n" + text;
}

std::string TellStory(const std::vector<LogLine>& lines, const std::string& request)
{
  std::vector<const LogLine*> own;
  std::set<std::string> addresses;
  std::set<std::string> targets;
  for (const LogLine& line : lines)
  {
    if (line.Text("request") != request)
      continue;
    own.push_back(&line);
    targets.insert(line.Text("target"));
    if (const std::string at = line.Text("at"); !at.empty())
      addresses.insert(at);
  }
  if (own.empty())
    return "";
  const std::string& process = own.front()->process;
  const double begin = own.front()->time;
  const double end = own.back()->time;
  const std::string time = own.front()->Text("time");
  std::string text = fmt::format("Request {} at {}, first seen at {:.3f} s of its clock{}:\n",
                                 request, process, begin, time.empty() ? "" : ", " + time);
  for (const LogLine& line : lines)
  {
    const bool is_context = line.process == process && IsBelief(line, targets) &&
                            line.time >= begin - CONTEXT_SECONDS && line.time <= end;
    if (is_context || line.Text("request") == request)
      text += Describe(line, begin, request);
  }
  return text + Conclude(*own.back()) + TellSwitches(lines, addresses, *own.front());
}
} // namespace Holdpost::OperatorTool
