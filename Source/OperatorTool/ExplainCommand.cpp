// SPDX-License-Identifier: Apache-2.0
#include <fstream>
#include <iostream>

#include "OperatorTool/CommandLine.h"
#include "OperatorTool/LogStory.h"

namespace Holdpost::OperatorTool
{
// Reads all logs; prints and returns nothing if one cannot be read.
static std::optional<std::vector<LogLine>> ReadLogs(const std::vector<std::string>& files)
{
  std::vector<LogLine> lines;
  if (files.empty())
    return ReadLog(std::cin, "standard input");
  for (const std::string& file : files)
  {
    std::ifstream input(file);
    if (!input)
    {
      fmt::print(stderr, "holdpost explain: {} cannot be read\n", file);
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
  const auto lines = ReadLogs(files);
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
} // namespace Holdpost::OperatorTool
