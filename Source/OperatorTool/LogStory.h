// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <istream>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

// Finds in the logs of gateways and sidecars what became of one request, and why.
namespace Holdpost::OperatorTool
{
// One line of a log, by the process that wrote it. Times are seconds of that process's own clock.
struct LogLine
{
  std::string process;
  double time = 0;
  std::string event;
  nlohmann::ordered_json fields;

  // The field if it is a text, else empty.
  std::string Text(const std::string& field) const;
  // Seconds since 1970 by the process's time of day; empty if the line has none.
  std::optional<double> TimeOfDay() const;
};

// Reads lines of the structured log. What stands before the JSON object of a line, as a collector
// writes it, names the process by its last word; else `process` does. Other lines are passed over.
std::vector<LogLine> ReadLog(std::istream& input, const std::string& process);

// The course of the request, with what its gateway came to believe shortly before and meanwhile,
// and the switches of the targets that it was sent to. Empty if no line names the request.
std::string TellStory(const std::vector<LogLine>& lines, const std::string& request);
} // namespace Holdpost::OperatorTool
