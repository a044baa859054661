// SPDX-License-Identifier: Apache-2.0
#include <fstream>
#include <iostream>

#include "OperatorTool/CommandLine.h"
#include "OperatorTool/LogStory.h"
#include "OperatorTool/LossReport.h"

namespace Holdpost::OperatorTool
{
// Reads all logs; prints and returns nothing if one cannot be read.
static std::optional<std::vector<LogLine>> ReadLogs(const std::string& command,
                                                    const std::vector<std::string>& files)
{
  std::vector<LogLine> lines;
  if (files.empty())
    return ReadLog(std::cin, "standard input");
  for (const std::string& file : files)
  {
    std::ifstream input(file);
    if (!input)
    {
      fmt::print(stderr, "holdpost {}: {} cannot be read\n", command, file);
      return std::nullopt;
    }
    for (LogLine& line : ReadLog(input, file))
      lines.push_back(std::move(line));
  }
  return lines;
}

int RunExplain(const Arguments& arguments)
{
  std::string request;
  std::vector<std::string> files;
  CommandLine line("explain", "Tells from logs what became of a request, and why.", "request");
  line.Add()("request", po::value(&request)->value_name("ID"), "the request's id")(
      "log", po::value(&files)->value_name("FILE"),
      "log of a gateway or sidecar; may be repeated (default: standard input)");
  if (const auto done = line.Parse(arguments))
    return *done;
  if (request.empty())
  {
    fmt::print(stderr, "holdpost explain: the request's id is needed; see --help\n");
    return Common::EXIT_BAD_INPUT;
  }
  const auto lines = ReadLogs("explain", files);
  if (!lines)
    return Common::EXIT_BAD_INPUT;
  const std::string story = TellStory(*lines, request);
  if (story.empty())
  {
    fmt::print(stderr, "holdpost explain: no line of the logs names {}\n", request);
    return Common::EXIT_FAILED;
  }
  fmt::print("{}", story);
  return Common::EXIT_OK;
}

int RunLosses(const Arguments& arguments)
{
  std::vector<std::string> files;
  std::int64_t period = 1;
  CommandLine line("losses", "Sums up from logs when and why requests were lost.", "log");
  line.Add()("log", po::value(&files)->value_name("FILE"),
             "log of a gateway; may be repeated (default: standard input)")(
      "period", po::value(&period)->value_name("SECONDS"),
      "length of a row of the table (default: 1)");
  if (const auto done = line.Parse(arguments))
    return *done;
  if (period < 1)
  {
    fmt::print(stderr, "holdpost losses: a period has a second at least\n");
    return Common::EXIT_BAD_INPUT;
  }
  const auto lines = ReadLogs("losses", files);
  if (!lines)
    return Common::EXIT_BAD_INPUT;
  if (lines->empty())
  {
    fmt::print(stderr, "holdpost losses: the logs have no line of a process\n");
    return Common::EXIT_FAILED;
  }
  fmt::print("{}", PrintLosses(SumUpLosses(*lines, std::chrono::seconds(period))));
  return Common::EXIT_OK;
}
} // namespace Holdpost::OperatorTool
